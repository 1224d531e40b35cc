import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A quarter of the callers send many requests ahead on one connection, read no answer and close it. */
public final class SentAhead {
    static final int CALLERS = 12;
    /** Callers that send one request and wait for its answer. */
    static final int OTHERS = 36;
    static final int AHEAD = 80;
    static final long WORK_MILLIS = 2_000;
    static final long LEAVE_MILLIS = 300;
    static final Map<String, Long> closed = new ConcurrentHashMap<>();
    static volatile PrintWriter record;
    static long zero;

    /** Works for a fixed time on each request, and stops when its connection closes. */
    static final class Shop extends Service {
        final List<Object[]> work = Collections.synchronizedList(new ArrayList<>());

        Shop(String id, String ip) throws Exception { super(id, "shop", ip); }

        @Override
        protected boolean run(Socket s, Http.Message m, String request) throws Exception {
            long begun = System.currentTimeMillis();
            record.println((begun - zero) + " " + id + " begins " + request);
            boolean isOpen = true;
            s.setSoTimeout(20);
            while (isOpen && System.currentTimeMillis() - begun < WORK_MILLIS) {
                try {
                    isOpen = s.getInputStream().read() >= 0;
                } catch (SocketTimeoutException e) {
                    // Still open.
                } catch (IOException e) {
                    isOpen = false;
                }
            }
            work.add(new Object[] {request, begun, System.currentTimeMillis()});
            if (!isOpen) return false;
            s.setSoTimeout(0);
            send(s, "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nResponse-Signature: s." + id + "\r\nContent-Length: 4\r\n\r\nfree");
            return true;
        }
    }

    public static void main(String[] args) { Case.run(() -> run(args)); }

    static int run(String[] args) throws Exception {
        boolean isTrouble = Case.hasTrouble();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])), true);
        zero = System.currentTimeMillis();
        int code;
        try (Deployment d = new Deployment(3, 2)) {
            for (Deployment.Node n : d.all()) n.start(true);
            List<Shop> servers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                servers.add(new Shop("i-shop" + i, "127.0.0." + (51 + i)));
                d.provider.entries.add(Provider.entry("i-shop" + i, "shop", servers.get(i).address(), "ljubljana-a", 6, "ready", ""));
            }
            String config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\",\"timeout_ms\":6000,\"target_latency_ms\":1200,\"priority\":2,\"service\":\"shop\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CALLERS; c++) {
                String caller = "c" + c;
                Deployment.Node e = d.entries.get(c % d.entries.size());
                threads.add(Service.thread(() -> {
                    Socket s = new Socket();
                    s.connect(new InetSocketAddress(e.ip, d.frontPort), 1000);
                    StringBuilder all = new StringBuilder();
                    for (int i = 0; i < AHEAD; i++) {
                        all.append("GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ").append(caller).append('-').append(i).append("\r\nDeadline-Ms: 6000\r\n\r\n");
                    }
                    Service.send(s, all.toString());
                    record.println((System.currentTimeMillis() - zero) + " " + caller + " has sent " + AHEAD + " requests to " + e.name());
                    Thread.sleep(isTrouble ? LEAVE_MILLIS : 8000);
                    s.close();
                    closed.put(caller, System.currentTimeMillis());
                    record.println((System.currentTimeMillis() - zero) + " " + caller + " closes");
                }));
            }
            AtomicInteger answered = new AtomicInteger();
            for (int o = 0; o < OTHERS; o++) {
                String caller = "o" + o;
                Deployment.Node e = d.entries.get(o % d.entries.size());
                threads.add(Service.thread(() -> {
                    try (Socket s = new Socket()) {
                        s.connect(new InetSocketAddress(e.ip, d.frontPort), 1000);
                        s.setSoTimeout(7000);
                        Service.send(s, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + caller + "-0\r\nDeadline-Ms: 6000\r\n\r\n");
                        Http.Message m = Http.read(s.getInputStream());
                        if (m != null && m.complete && m.status() == 200) answered.incrementAndGet();
                    }
                }));
            }
            for (Thread t : threads) t.join(10_000);
            Thread.sleep(8000);
            int late = 0;
            int atWork = 0;
            int wouldLast = 0;
            for (Shop s : servers) {
                for (Object[] w : s.work) {
                    Long leftAt = closed.get(((String) w[0]).split("-")[0]);
                    if (leftAt == null) continue;
                    long begun = (Long) w[1];
                    long ended = (Long) w[2];
                    if (begun > leftAt + 500) late++;
                    if (begun <= leftAt && begun + WORK_MILLIS > leftAt + 500) {
                        wouldLast++;
                        if (ended > leftAt + 500) atWork++;
                    }
                }
            }
            String result = "callers that send ahead " + CALLERS + ", others " + OTHERS + " (" + answered + " answered), requests that reached a server over 0.5 s after the close " + late
                + ", at work 0.5 s after it " + atWork + " of " + wouldLast + " that would have lasted so long";
            record.println(result);
            System.out.println(result);
            code = late > 5 || wouldLast > 0 && atWork * 4 > wouldLast ? 1 : 0;
            if (isTrouble && wouldLast == 0) code = 2;
        }
        return code;
    }
}
