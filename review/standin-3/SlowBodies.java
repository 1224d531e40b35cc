import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A few callers send large bodies and then go on very slowly, while ordinary callers send the requests of the site. */
public final class SlowBodies {
    /** What the members of the crowd send of their bodies at first; the limit of the manifest is 4,194,304 bytes. */
    static final int[] FIRST_BYTES = sizes();
    static final long PIECE_MILLIS = Long.getLong("pieceMillis", 300);
    static final long TRAFFIC_MILLIS = 40_000;
    /** Name, path, bytes of the body, part of all in 1,000, method, time limit in ms. */
    static final String[][] KINDS = {
        {"design", "/d/x", "17000", "242", "POST", "6000"},
        {"question", "/q/x", "9200", "105", "POST", "4000"},
        {"summary", "/s/x", "1500", "321", "POST", "8000"},
        {"book", "/b/x", "600", "167", "POST", "600"},
        {"lookup", "/l/x", "0", "165", "GET", "600"},
    };
    static volatile PrintWriter record;
    static long zero;

    static int[] sizes() {
        List<Integer> all = new ArrayList<>(List.of(4_000_000, 4_000_000, 4_000_000));
        for (int size = 2_000_000; size > 4_000; size /= 2) {
            all.add(size);
            all.add(size);
        }
        return all.stream().mapToInt(i -> i).toArray();
    }

    static long now() { return System.currentTimeMillis() - zero; }

    /** Answers requests of the streaming kinds with three events, others as the plain service does. */
    static final class Shop extends Service {
        Shop(String id, String ip) throws Exception { super(id, "shop", ip); }

        @Override
        protected boolean run(Socket s, Http.Message m, String request) throws Exception {
            if (request.startsWith("slow")) record.println(now() + " " + id + " runs " + request);
            if (!m.startLine.matches("POST /[dqs]/.*")) return super.run(s, m, request);
            send(s, "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nInstance-Id: " + id + "\r\nResponse-Signature: s." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= 3; i++) {
                String event = "id: " + i + "\ndata: piece\n\n";
                Thread.sleep(20);
                send(s, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            send(s, "0\r\n\r\n");
            return true;
        }
    }

    /** Sends a first chunk of [bytes], and then chunks of one byte. */
    static void member(Deployment d, Deployment.Node n, String id, int bytes) throws Exception {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(n.ip, d.frontPort), 1000);
            Service.send(s, "POST /b/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes) + "\r\n");
            s.getOutputStream().write(new byte[bytes]);
            Service.send(s, "\r\n");
            record.println(now() + " " + id + " has sent " + bytes + " bytes of its body to " + n.name());
            while (true) {
                Thread.sleep(PIECE_MILLIS);
                Service.send(s, "1\r\nb\r\n");
            }
        } catch (IOException e) {
            record.println(now() + " " + id + ": " + e.getMessage());
        }
    }

    static String call(Deployment d, Deployment.Node n, String[] kind, String id) {
        int millis = Integer.parseInt(kind[5]);
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(n.ip, d.frontPort), 1000);
            s.setSoTimeout(millis);
            int bytes = Integer.parseInt(kind[2]);
            Service.send(s, kind[4] + " " + kind[1] + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + millis
                + (bytes > 0 ? "\r\nContent-Length: " + bytes : "") + "\r\n\r\n");
            s.getOutputStream().write(new byte[bytes]);
            Http.Message m = Http.read(s.getInputStream());
            if (m == null || !m.complete) return "closed";
            return "" + m.status();
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    public static void main(String[] args) { Case.run(() -> run(args)); }

    static int run(String[] args) throws Exception {
        boolean isTrouble = Case.hasTrouble();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])), true);
        zero = System.currentTimeMillis();
        try (Deployment d = new Deployment(3, 2)) {
            BlockingQueue<String> ends = new LinkedBlockingQueue<>();
            for (Deployment.Node n : d.all()) n.start(true);
            d.supervise(ends);
            for (int i = 0; i < 3; i++) {
                Service s = new Shop("i-shop" + i, "127.0.0." + (51 + i));
                d.provider.entries.add(Provider.entry(s.id, "shop", s.address(), "ljubljana-a", 6, "ready", ""));
            }
            StringJoiner routes = new StringJoiner(",");
            for (String[] k : KINDS) {
                String route = k[0].equals("book") ? "non_idempotent" : k[0].equals("lookup") ? "idempotent" : "streaming";
                routes.add("{\"name\":\"" + k[0] + "\",\"host\":\"a.example\",\"path_prefix\":\"" + k[1].substring(0, 3) + "\",\"kind\":\"" + route
                    + "\",\"timeout_ms\":" + k[5] + ",\"target_latency_ms\":" + (k[5].equals("600") ? 121 : 500)
                    + ",\"priority\":2,\"service\":\"shop\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false}");
            }
            String config = "{\"version\":1,\"routes\":[" + routes + "],"
                + "\"services\":[{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            if (isTrouble) {
                for (Deployment.Node n : d.entries) {
                    Service.thread(() -> {
                        for (int i = 0; i < FIRST_BYTES.length; i++) {
                            String id = "slow-" + n.number + "-" + i;
                            int bytes = FIRST_BYTES[i];
                            Service.thread(() -> member(d, n, id, bytes));
                            Thread.sleep(100);
                        }
                    });
                }
                Thread.sleep(FIRST_BYTES.length * 100L + 1000);
            }
            Map<String, int[]> counts = new TreeMap<>();
            Map<String, AtomicInteger> ways = new ConcurrentSkipListMap<>();
            for (String[] k : KINDS) counts.put(k[0], new int[2]);
            Random random = new Random(7);
            List<Thread> threads = new ArrayList<>();
            long from = System.currentTimeMillis();
            for (int i = 0; System.currentTimeMillis() - from < TRAFFIC_MILLIS; i++) {
                int draw = random.nextInt(1000);
                int k = 0;
                while (draw >= Integer.parseInt(KINDS[k][3])) draw -= Integer.parseInt(KINDS[k++][3]);
                String[] kind = KINDS[k];
                int number = i;
                threads.add(Service.thread(() -> {
                    boolean isServed = false;
                    String way = "";
                    // The kinds of the site are sent once more, after a failure that says that they have not run.
                    for (int a = 0; a < 2 && !isServed && (a == 0 || way.equals("503")); a++) {
                        if (a > 0) Thread.sleep(Integer.parseInt(kind[5]) / 6);
                        String id = kind[0] + "-" + number + "-" + a;
                        way = call(d, d.entries.get((number + a) % 2), kind, id);
                        record.println(now() + " " + id + ": " + way);
                        ways.computeIfAbsent(kind[0] + " " + way, x -> new AtomicInteger()).incrementAndGet();
                        isServed = way.equals("200");
                    }
                    synchronized (counts) {
                        counts.get(kind[0])[0]++;
                        if (isServed) counts.get(kind[0])[1]++;
                    }
                }));
                Thread.sleep(88);
            }
            for (Thread t : threads) t.join(12_000);
            int sent = 0;
            int served = 0;
            for (int[] c : counts.values()) {
                sent += c[0];
                served += c[1];
            }
            int code = 0;
            StringBuilder result = new StringBuilder("all: served " + served + " of " + sent);
            for (String[] k : KINDS) {
                int[] c = counts.get(k[0]);
                result.append(", ").append(k[0]).append(": ").append(c[1]).append(" of ").append(c[0]);
                if (c[0] >= 20 && (double) c[1] / c[0] < (double) served / sent / 4) code = 1;
            }
            result.append(", attempts ").append(ways).append(", processes that ended ").append(ends.size());
            record.println(result);
            System.out.println(result);
            return code;
        }
    }
}
