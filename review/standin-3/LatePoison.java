import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One request crashes each server that runs it, some time after the server has begun. It comes again and again. */
public final class LatePoison {
    /** Longer than twice the latency objective of the route, shorter than the time limit. */
    static final long CRASH_AFTER_MILLIS = 400;
    static final long BACK_MILLIS = 2_000;
    static final List<Object[]> arrivals = Collections.synchronizedList(new ArrayList<>());
    static final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
    static volatile PrintWriter record;
    static volatile boolean trouble;
    static long zero;

    /** A server that works on when its caller has closed the connection, and notices that only when it answers. */
    static final class Server {
        final String name;
        final String ip;
        final int port;
        volatile String id;
        volatile int boot;
        volatile long bornMillis;
        volatile boolean isUp;
        volatile ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String name, String ip) throws Exception {
            this.name = name;
            this.ip = ip;
            ServerSocket first = new ServerSocket();
            first.setReuseAddress(true);
            first.bind(new InetSocketAddress(ip, 0), 500);
            port = first.getLocalPort();
            start(first);
        }

        synchronized void start(ServerSocket s) {
            boot++;
            id = "i-" + name + "-" + boot;
            bornMillis = System.currentTimeMillis();
            socket = s;
            isUp = true;
            Service.thread(() -> {
                while (true) {
                    Socket c = s.accept();
                    open.add(c);
                    Service.thread(() -> serve(c));
                }
            });
        }

        void crash(String request, int atBoot) throws Exception {
            synchronized (this) {
                if (!isUp || boot != atBoot) return;
                isUp = false;
                socket.close();
                for (Socket c : open) c.close();
                open.clear();
                crashes.add(System.currentTimeMillis());
            }
            record.println((System.currentTimeMillis() - zero) + " " + id + " crashes on " + request);
            Service.thread(() -> {
                Thread.sleep(BACK_MILLIS);
                ServerSocket s = new ServerSocket();
                s.setReuseAddress(true);
                s.bind(new InetSocketAddress(ip, port), 500);
                start(s);
            });
        }

        String listed() {
            return Provider.entry(id, "shop", ip + ":" + port, "ljubljana-a", 6, "ready", ",\"born\":" + bornMillis);
        }

        void serve(Socket s) throws Exception {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Http.Message m = Http.read(in);
                    if (m == null || !m.complete) return;
                    String request = m.headers.getOrDefault("Request-Id", "");
                    String echo = "Request-Id: " + request + "\r\n";
                    if (m.startLine.contains(" /health ")) {
                        Service.send(s, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    if (!id.equals(m.headers.get("Expect-Instance"))) {
                        Service.send(s, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    boolean isPoison = m.startLine.contains("/poison");
                    int atBoot = boot;
                    record.println((System.currentTimeMillis() - zero) + " " + id + " begins " + request);
                    if (isPoison) {
                        arrivals.add(new Object[] {System.currentTimeMillis(), request});
                        // Work stops at the time limit that the server was given.
                        long limit = Long.parseLong(m.headers.getOrDefault("Deadline-Ms", "600"));
                        Thread.sleep(Math.min(limit, CRASH_AFTER_MILLIS));
                        if (limit < CRASH_AFTER_MILLIS) {
                            Service.send(s, "HTTP/1.1 504 Gateway Timeout\r\n" + echo + "Response-Signature: s." + id + "." + request + "\r\nContent-Length: 0\r\n\r\n");
                            continue;
                        }
                        if (trouble) {
                            crash(request, atBoot);
                            return;
                        }
                    } else {
                        Thread.sleep(20);
                    }
                    Service.send(s, "HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: s." + id + "." + request + "\r\nContent-Length: 4\r\n\r\nfree");
                }
            } finally {
                open.remove(s);
            }
        }
    }

    public static void main(String[] args) { Case.run(() -> run(args)); }

    static int run(String[] args) throws Exception {
        trouble = Case.hasTrouble();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])), true);
        zero = System.currentTimeMillis();
        int code;
        try (Deployment d = new Deployment(3, 2)) {
            for (Deployment.Node n : d.all()) n.start(true);
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < 3; i++) servers.add(new Server("shop" + i, "127.0.0." + (51 + i)));
            Service.thread(() -> {
                ArrayDeque<List<String>> lists = new ArrayDeque<>();
                while (true) {
                    List<String> now = new ArrayList<>();
                    for (Server s : servers) now.add(s.listed());
                    lists.addLast(now);
                    d.provider.entries = lists.size() > 8 ? lists.removeFirst() : lists.peekFirst();
                    Thread.sleep(100);
                }
            });
            String config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout_ms\":600,\"target_latency_ms\":121,\"priority\":2,\"service\":\"shop\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
            long start = System.currentTimeMillis();
            List<Thread> threads = new ArrayList<>();
            Random random = new Random(7);
            for (int n = 0; System.currentTimeMillis() < start + 40_000; n++) {
                boolean bad = n % 30 == 29;
                String id = (bad ? "p" : "s") + n;
                Deployment.Node e = d.entries.get(random.nextInt(d.entries.size()));
                threads.add(Service.thread(() -> {
                    String outcome;
                    try (Socket s = new Socket()) {
                        s.connect(new InetSocketAddress(e.ip, d.frontPort), 1000);
                        s.setSoTimeout(1500);
                        record.println((System.currentTimeMillis() - zero) + " sent " + id + " to " + e.name());
                        Service.send(s, "GET /r/" + (bad ? "poison" : "q" + id) + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 600\r\n\r\n");
                        Http.Message m = Http.read(s.getInputStream());
                        outcome = m == null ? "closed" : m.complete ? "" + m.status() : "cut";
                    } catch (IOException x) {
                        outcome = x.getClass().getSimpleName();
                    }
                    record.println((System.currentTimeMillis() - zero) + " answer to " + id + ": " + outcome);
                    outcomes.computeIfAbsent((bad ? "the request: " : "others: ") + outcome, k -> new AtomicInteger()).incrementAndGet();
                }));
                Thread.sleep(100);
            }
            for (Thread t : threads) t.join(3000);
            long late = crashes.size() < 3 ? 0 : arrivals.stream().filter(a -> (Long) a[0] > crashes.get(2) + 3000).map(a -> a[1]).distinct().count();
            String result = "crashes " + crashes.size() + ", times that the request reached a server " + arrivals.size()
                + ", times that it came and reached one later than 3 s after the third crash " + late + ", answers " + outcomes;
            record.println(result);
            System.out.println(result);
            code = late > 3 ? 1 : 0;
        }
        return code;
    }
}
