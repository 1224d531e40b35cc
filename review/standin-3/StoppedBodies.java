import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A crowd of callers sends bodies in chunks and stops one byte short of their end, while ordinary callers send small requests. */
public final class StoppedBodies {
    /** The members at each entry. */
    static final int CROWD = 2_000;
    static final int BODY_BYTES = 200_000;
    /** The threads that send for the members at an entry. */
    static final int PARTS = 16;
    /** The pause before the last piece of a body. */
    static final long PAUSE_MILLIS = 50;
    static final int CHUNK_BYTES = 20_000;
    static final int TIMEOUT_MILLIS = 600;
    static final long TRAFFIC_MILLIS = 25_000;
    static final byte[] BODY = body();
    static volatile PrintWriter record;
    static long zero;
    static volatile boolean hasLeft;
    static final Set<Socket> crowd = ConcurrentHashMap.newKeySet();

    static byte[] body() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < BODY_BYTES / CHUNK_BYTES; i++) {
            all.append(Integer.toHexString(CHUNK_BYTES)).append("\r\n").append("b".repeat(CHUNK_BYTES)).append("\r\n");
        }
        return all.toString().getBytes();
    }

    static long now() { return System.currentTimeMillis() - zero; }

    /** Opens a connection to [entry] and sends all of a request but its last byte, or returns null if it is refused. */
    static Socket openOrNull(Deployment d, Deployment.Node entry, String id) throws InterruptedException {
        Socket s = new Socket();
        try {
            s.connect(new InetSocketAddress(entry.ip, d.frontPort), 1000);
            Service.send(s, "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n");
            s.getOutputStream().write(BODY);
            Thread.sleep(PAUSE_MILLIS);
            Service.send(s, "0\r\n\r");
            crowd.add(s);
            if (hasLeft) close(s);
            return s;
        } catch (IOException e) {
            close(s);
            return null;
        }
    }

    static void close(Socket s) {
        crowd.remove(s);
        try {
            s.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** One part of the crowd: keeps its connections open, and opens another for each that the entry has closed. */
    static void keepOpen(Deployment d, Deployment.Node entry, int part, int members) throws Exception {
        Socket[] sockets = new Socket[members];
        for (int round = 0;; round++) {
            for (int i = 0; i < members; i++) {
                Socket s = sockets[i];
                if (s != null && s.getInputStream().available() == 0) {
                    s.setSoTimeout(1);
                    try {
                        if (s.getInputStream().read() >= 0) close(s);
                    } catch (SocketTimeoutException e) {
                        continue;
                    } catch (IOException e) {
                        // Reset.
                    }
                }
                if (s != null) close(s);
                if (hasLeft) return;
                sockets[i] = openOrNull(d, entry, "stopped-" + entry.number + "-" + part + "-" + i + "-" + round);
            }
            Thread.sleep(1000);
        }
    }

    static boolean isReady(Deployment d, Deployment.Node n) {
        try {
            return Http.call(n.ip, d.readyPort, "GET", "/readiness", new byte[0], 1000).status() == 200;
        } catch (IOException e) {
            return false;
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
            String config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":121,\"priority\":2,\"service\":\"shop\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            if (isTrouble) {
                record.println(now() + " the crowd begins, " + CROWD + " members at each entry");
                for (Deployment.Node e : d.entries) {
                    for (int part = 0; part < PARTS; part++) {
                        int number = part;
                        Service.thread(() -> keepOpen(d, e, number, CROWD / PARTS));
                    }
                }
                Thread.sleep(10_000);
                record.println(now() + " open connections of the crowd: " + crowd.size());
            }
            long from = System.currentTimeMillis();
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger atTimeout = new AtomicInteger();
            AtomicInteger hung = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            AtomicInteger[] ready = {new AtomicInteger(), new AtomicInteger()};
            AtomicInteger questions = new AtomicInteger();
            for (Deployment.Node n : d.entries) {
                threads.add(Service.thread(() -> {
                    while (System.currentTimeMillis() - from < TRAFFIC_MILLIS) {
                        questions.incrementAndGet();
                        if (isReady(d, n)) ready[n.number].incrementAndGet();
                        Thread.sleep(1000);
                    }
                }));
            }
            for (int i = 0; System.currentTimeMillis() - from < TRAFFIC_MILLIS; i++) {
                Deployment.Node n = d.entries.get(i % 2);
                String id = "o-" + i;
                threads.add(Service.thread(() -> {
                    String way;
                    long begun = 0;
                    try (Socket s = new Socket()) {
                        s.connect(new InetSocketAddress(n.ip, d.frontPort), 1000);
                        Service.send(s, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + TIMEOUT_MILLIS + "\r\n\r\n");
                        begun = System.currentTimeMillis();
                        sent.incrementAndGet();
                        // Judged at the end of the half second, and read no longer.
                        s.setSoTimeout(TIMEOUT_MILLIS + 500);
                        Http.Message m = Http.read(s.getInputStream());
                        way = m == null ? "closed" : "" + m.status();
                    } catch (SocketTimeoutException e) {
                        way = "no answer";
                    } catch (IOException e) {
                        way = "" + e.getMessage();
                    }
                    if (begun == 0) return;
                    long took = System.currentTimeMillis() - begun;
                    if (took > TIMEOUT_MILLIS) atTimeout.incrementAndGet();
                    if (way.equals("no answer")) hung.incrementAndGet();
                    if (way.equals("200")) served.incrementAndGet();
                    record.println(now() + " " + id + " to " + n.name() + ": " + way + " after " + took + " ms");
                }));
                Thread.sleep(80);
            }
            for (Thread t : threads) t.join(15_000);
            record.println(now() + " the crowd leaves, open connections " + crowd.size());
            hasLeft = true;
            for (Socket s : crowd) close(s);
            long left = System.currentTimeMillis();
            for (Deployment.Node n : d.entries) {
                String way = "";
                while (!way.equals("404") && System.currentTimeMillis() - left < 30_000) {
                    try {
                        way = "" + Http.call(n.ip, d.frontPort, "GET", "/x", new byte[0], 1000).status();
                    } catch (IOException e) {
                        way = e.getMessage();
                    }
                }
                record.println(now() + " a request to " + n.name() + " " + (System.currentTimeMillis() - left) + " ms after that: " + way);
            }
            for (Deployment.Node n : d.entries) record.println(now() + " " + n.name() + " alive " + n.isAlive());
            for (String e : ends) record.println(e);
            String result = "ordinary requests sent " + sent + ", served " + served + ", unanswered at their timeout " + atTimeout + ", of those half a second later "
                + hung + ", ready " + Arrays.toString(ready) + " of " + questions.get() / 2 + ", processes that ended " + ends.size();
            record.println(result);
            System.out.println(result);
            return hung.get() >= 8 && hung.get() * 2 > atTimeout.get() ? 1 : 0;
        }
    }
}
