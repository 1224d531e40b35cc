import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Requests with one part crash the engines that begin to write an answer on it, inside an event. */
public final class PoisonedPart {
    static final String POISON = "dead0001";

    static final class Arrival { long millis; String request; String engine; }

    public static void main(String[] args) { Case.run(() -> run(args)); }

    static int run(String[] args) throws Exception {
        boolean isTrouble = Case.hasTrouble();
        boolean unframed = !"1".equals(System.getenv("FRAMED"));
        long seconds = 40;
        PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])), true);
        List<Arrival> poisoned = Collections.synchronizedList(new ArrayList<>());
        List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
        long zero = System.currentTimeMillis();
        Engine.Listener listener = new Engine.Listener() {
            public void began(Engine e, String request, String parts) {
                long now = System.currentTimeMillis();
                record.println((now - zero) + " " + e.id + " begins " + request);
                if (!parts.contains(POISON)) return;
                Arrival a = new Arrival();
                a.millis = now; a.request = request; a.engine = e.id;
                poisoned.add(a);
            }
            public void crashed(Engine e, String request) {
                long now = System.currentTimeMillis();
                crashes.add(now);
                record.println((now - zero) + " " + e.id + " crashes on " + request);
            }
        };
        int code = 2;
        try (Deployment d = new Deployment(3, 2)) {
            BlockingQueue<String> ends = new LinkedBlockingQueue<>();
            for (Deployment.Node n : d.all()) n.start(true);
            List<Engine> engines = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Engine e = new Engine("eng" + i, "127.0.0." + (61 + i), i < 2 ? "prefill" : "decode", listener);
                e.unframed = unframed;
                if (isTrouble) e.poison = POISON;
                engines.add(e);
            }
            // The list lags by 0.8 s and still names a crashed engine until it is back.
            Service.thread(() -> {
                ArrayDeque<List<String>> lists = new ArrayDeque<>();
                while (true) {
                    List<String> now = new ArrayList<>();
                    for (Engine e : engines) now.add(e.listed());
                    lists.addLast(now);
                    if (lists.size() > 8) d.provider.entries = lists.removeFirst();
                    else d.provider.entries = lists.peekFirst();
                    Thread.sleep(100);
                }
            });
            String engine = "{\"slots\":64,\"kv_capacity\":532232,\"token_kv_bytes\":163840,\"link_mbps\":1600000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\"handle_ttl_s\":5.0,\"reconfig_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}";
            String config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/r/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1200,\"priority\":2,\"service\":\"model\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":200}],\"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":" + engine + "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
            Http.Message ack = Http.operator(d, "PUT", config.getBytes(), 0, 20000);
            if (ack == null || ack.status() != 200) throw new IllegalStateException("the manifest was not acknowledged");
            for (Deployment.Node e : d.entries) d.awaitReady(e, 20000);
            Thread.sleep(4000);
            Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
            long start = System.currentTimeMillis();
            List<Thread> threads = new ArrayList<>();
            Random random = new Random(7);
            for (int n = 0; System.currentTimeMillis() < start + seconds * 1000; n++) {
                boolean bad = n % 5 == 4;
                String id = (bad ? "p" : "s") + n;
                String parts = "5c1e07a2:800," + (bad ? POISON : "91bd3f06") + ":410,e" + Integer.toHexString(0x1000 + n) + ":250";
                Deployment.Node e = d.entries.get(random.nextInt(d.entries.size()));
                threads.add(Service.thread(() -> {
                    String outcome;
                    try (Socket s = new Socket()) {
                        s.connect(new InetSocketAddress(e.ip, d.frontPort), 1000);
                        s.setSoTimeout(7000);
                        record.println((System.currentTimeMillis() - zero) + " sent " + id + " to " + e.name());
                        byte[] body = ("question " + id).getBytes();
                        Service.send(s, "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 6000\r\nModel: m\r\nToken-Count: 1460,42\r\nPrompt-Prefix: "
                            + parts + "\r\nContent-Length: " + body.length + "\r\n\r\n");
                        s.getOutputStream().write(body);
                        Http.Message m = Http.read(s.getInputStream());
                        outcome = m == null ? "closed" : m.complete ? "" + m.status() : "cut";
                    } catch (IOException x) {
                        outcome = x.getClass().getSimpleName();
                    }
                    record.println((System.currentTimeMillis() - zero) + " answer to " + id + ": " + outcome);
                    outcomes.computeIfAbsent((bad ? "with the part: " : "others: ") + outcome, k -> new AtomicInteger()).incrementAndGet();
                }));
                Thread.sleep(100);
            }
            for (Thread t : threads) t.join(8000);
            long late = 0;
            if (crashes.size() >= 5) {
                long fifth = crashes.get(4);
                late = poisoned.stream().filter(a -> a.millis > fifth + 3000).map(a -> a.request).distinct().count();
            }
            String result = "crashes " + crashes.size() + ", requests with the part that reached engines " + poisoned.size()
                + ", later than 3 s after the fifth crash " + late + ", answers " + outcomes;
            record.println(result);
            System.out.println(result);
            code = late > 3 ? 1 : 0;
        }
        return code;
    }
}
