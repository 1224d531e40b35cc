import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A crowd of callers sends small bodies very slowly, while ordinary callers open connections of their own. */
public final class SlowCrowd {
    /** The members at each entry. The site gives an entry 4,100 descriptors. */
    static final int CROWD = Integer.getInteger("crowd", 3_300);
    static final int BODY_BYTES = 600;
    /** A member sends a byte so often. */
    static final long BYTE_MILLIS = Long.getLong("byteMillis", 5_000);
    static final int CALLERS = 12;
    static final long TRAFFIC_MILLIS = 40_000;
    static volatile PrintWriter record;
    static long zero;

    static long now() { return System.currentTimeMillis() - zero; }

    /** Opens a connection to [entry] and sends the first part of a request, or returns null if it is refused. */
    static Socket openOrNull(Deployment d, Deployment.Node entry, String id) {
        Socket s = new Socket();
        try {
            s.connect(new InetSocketAddress(entry.ip, d.frontPort), 1000);
            Service.send(s, "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 60000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "b".repeat(100));
            return s;
        } catch (IOException e) {
            close(s);
            return null;
        }
    }

    static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** Sends a byte on each connection from time to time. A member whose connection the entry has closed opens another. */
    static void trickle(Deployment d, Deployment.Node entry, Socket[] sockets) throws Exception {
        for (int round = 1;; round++) {
            long begun = System.currentTimeMillis();
            for (int i = 0; i < sockets.length; i++) {
                Socket s = sockets[i];
                if (s == null) {
                    sockets[i] = openOrNull(d, entry, "slow-" + entry.number + "-" + i + "-" + round);
                    continue;
                }
                try {
                    s.getOutputStream().write('b');
                } catch (IOException e) {
                    close(s);
                    sockets[i] = null;
                }
            }
            Thread.sleep(Math.max(1, begun + BYTE_MILLIS - System.currentTimeMillis()));
        }
    }

    static long memory(Deployment.Node n) throws IOException {
        for (String l : Files.readAllLines(Path.of("/proc/" + n.process.pid() + "/status"))) {
            if (l.startsWith("VmHWM:")) return Long.parseLong(l.replaceAll("\\D", "")) / 1024;
        }
        return -1;
    }

    static boolean isReady(Deployment d, Deployment.Node n) {
        try {
            return Http.call(n.ip, d.readyPort, "GET", "/readiness", new byte[0], 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends one request on a new connection; returns what came of it. */
    static String call(Deployment d, Deployment.Node n, String id) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(n.ip, d.frontPort), 1000);
            s.setSoTimeout(1500);
            Service.send(s, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\n\r\n");
            Http.Message m = Http.read(s.getInputStream());
            return m == null ? "closed without an answer" : "" + m.status();
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
                Service s = new Service("i-shop" + i, "shop", "127.0.0." + (51 + i));
                d.provider.entries.add(Provider.entry(s.id, "shop", s.address(), "ljubljana-a", 6, "ready", ""));
            }
            String config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":121,\"priority\":2,\"service\":\"shop\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            if (isTrouble) {
                List<Thread> openers = new ArrayList<>();
                AtomicInteger opened = new AtomicInteger();
                for (Deployment.Node e : d.entries) {
                    openers.add(Service.thread(() -> {
                        Socket[] sockets = new Socket[CROWD];
                        for (int i = 0; i < CROWD; i++) {
                            sockets[i] = openOrNull(d, e, "slow-" + e.number + "-" + i + "-0");
                            if (sockets[i] != null) opened.incrementAndGet();
                        }
                        record.println(now() + " the crowd at " + e.name() + " has sent the first part of its requests");
                        Service.thread(() -> trickle(d, e, sockets));
                    }));
                }
                for (Thread t : openers) t.join(30_000);
                record.println(now() + " " + opened + " connections were opened");
                if (opened.get() < CROWD) throw new IllegalStateException("too few connections: " + opened);
            }
            long from = System.currentTimeMillis();
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            Map<String, AtomicInteger> ways = new ConcurrentSkipListMap<>();
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CALLERS; c++) {
                int caller = c;
                threads.add(Service.thread(() -> {
                    Thread.sleep(caller * 80L);
                    for (int i = 0; System.currentTimeMillis() - from < TRAFFIC_MILLIS; i++) {
                        sent.incrementAndGet();
                        boolean isServed = false;
                        // Twice at each entry in turn, as a caller may repeat an idempotent request.
                        for (int a = 0; a < 4 && !isServed; a++) {
                            Deployment.Node n = d.entries.get((caller + a) % d.entries.size());
                            String id = "o" + caller + "-" + i + "-" + a;
                            String way = call(d, n, id);
                            record.println(now() + " " + id + " to " + n.name() + ": " + way);
                            ways.computeIfAbsent(way, k -> new AtomicInteger()).incrementAndGet();
                            isServed = way.equals("200");
                            if (!isServed) Thread.sleep(100);
                        }
                        if (isServed) served.incrementAndGet();
                        Thread.sleep(1000);
                    }
                }));
            }
            int[] ready = new int[d.entries.size()];
            int questions = 0;
            while (System.currentTimeMillis() - from < TRAFFIC_MILLIS) {
                questions++;
                for (Deployment.Node n : d.entries) if (isReady(d, n)) ready[n.number]++;
                Thread.sleep(1000);
            }
            for (Thread t : threads) t.join(15_000);
            for (Deployment.Node n : d.entries) {
                record.println(now() + " " + n.name() + " said that it is ready " + ready[n.number] + " times of " + questions
                    + ", memory " + memory(n) + " MB at most, alive " + n.isAlive());
            }
            for (String e : ends) record.println(e);
            String result = "ordinary requests " + sent + ", served " + served + ", attempts " + ways + ", ready " + Arrays.toString(ready)
                + " of " + questions + ", processes that ended " + ends.size();
            record.println(result);
            System.out.println(result);
            return served.get() == 0 ? 1 : 0;
        }
    }
}
