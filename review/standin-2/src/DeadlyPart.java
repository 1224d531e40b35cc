import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes each engine that begins to write an answer on it. The engines' streams have neither a length
 * nor chunks and end with their channel. How many requests with the part reach engines later than settle_window_ms after
 * the fifth crash?
 */
final class DeadlyPart {
    private static final String HOST = "ficu95.example";
    private static final String SERVICE = "huvo11a";
    private static final String SHARED_PART = "5c1e07a2";
    private static final String DEADLY = "91bd3f06";
    private static final long SETTLE_MILLIS = 3_000;
    private static final long PLAY_MILLIS = 45_000;

    private static final List<Long> CRASHES = new ArrayList<>();
    private static final List<Long> DEADLY_ARRIVALS = new ArrayList<>();
    private static final AtomicInteger NEXT = new AtomicInteger();

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        boolean isChunked = "1".equals(System.getenv("CHUNKED"));
        String prefix = Fleet.loopbackPrefix();
        List<ModelEngine> engines = new ArrayList<>();
        InstanceList list = new InstanceList(prefix + "250", () -> ModelEngine.entries(engines, SERVICE));
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            ModelEngine.Listener listener = new ModelEngine.Listener() {
                @Override
                public void arrived(ModelEngine engine, Message request) {
                    if (!request.field("Prompt-Prefix").contains(DEADLY)) return;
                    synchronized (CRASHES) {
                        DEADLY_ARRIVALS.add(Fleet.nowMillis());
                    }
                    fleet.record("engine %s gets %s, which has the deadly part", engine.id, request.field("Request-Id"));
                }

                @Override
                public void crashed(ModelEngine engine, Message request) {
                    synchronized (CRASHES) {
                        CRASHES.add(Fleet.nowMillis());
                    }
                    fleet.record("crash %d: engine %s, within the answer to %s", CRASHES.size(), engine.id, request.field("Request-Id"));
                }
            };
            for (int i = 0; i < 6; i++) {
                engines.add(new ModelEngine("i-7f3a91c" + i, prefix + (201 + i), i < 2 ? "prefill" : "decode", DEADLY, isChunked, listener));
            }
            return play(fleet);
        }
    }

    private static int play(Fleet fleet) throws Exception {
        String manifest = "{\"version\":7,\"routes\":[{\"name\":\"r-h2b9wu3\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/pufi791/\","
            + "\"kind\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + SERVICE + "\","
            + "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":200}],\"services\":[{\"name\":\"" + SERVICE + "\","
            + "\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kv_capacity\":532232,\"token_kv_bytes\":163840,\"link_mbps\":1600000.0,\"moves\":true,\"backups\":true,\"stride\":7,"
            + "\"most\":12,\"handle_ttl_s\":5.0,\"reconfig_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        fleet.startAll(true);
        if (!fleet.putManifest(manifest, 20_000) || !fleet.awaitReady(15_000)) {
            fleet.record("the system did not start");
            return 2;
        }
        AtomicInteger sound = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger deadlySent = new AtomicInteger();
        long end = Fleet.nowMillis() + PLAY_MILLIS;
        for (int i = 0; Fleet.nowMillis() < end; i++) {
            // Each fifth request has the deadly part; no two requests are alike.
            boolean isDeadly = Case.isTroubled() && i > 20 && i % 5 == 0;
            int number = i;
            InstanceList.daemon(() -> {
                Requester.Result result = send(fleet, number, isDeadly);
                if (isDeadly) {
                    deadlySent.incrementAndGet();
                } else {
                    sound.incrementAndGet();
                    if (result.status() == 200 && result.isSigned() && result.body().contains("id: 8\n")) served.incrementAndGet();
                }
            });
            Thread.sleep(150);
        }
        Thread.sleep(4_000);
        return judge(fleet, deadlySent.get(), sound.get(), served.get());
    }

    private static int judge(Fleet fleet, int deadlySent, int sound, int served) throws Exception {
        fleet.record("requests with the deadly part: %d sent; sound requests: %d sent, %d served", deadlySent, sound, served);
        fleet.record("lines of the logs with event=request_quarantined: %d", fleet.logLines("event=request_quarantined"));
        synchronized (CRASHES) {
            fleet.record("crashes of engines: %d", CRASHES.size());
            if (CRASHES.size() < 5) {
                fleet.record("BUDGET held: fewer than five crashes");
                return 0;
            }
            long from = CRASHES.get(4) + SETTLE_MILLIS;
            long late = DEADLY_ARRIVALS.stream().filter(it -> it > from).count();
            fleet.record("requests with the deadly part that reached engines later than settle_window_ms after the fifth crash: %d", late);
            fleet.record(late > 3 ? "BUDGET is broken: more than three" : "BUDGET held");
            return late > 3 ? 1 : 0;
        }
    }

    private static Requester.Result send(Fleet fleet, int number, boolean isDeadly) {
        Fleet.Node entry = fleet.entries.get(number % fleet.entries.size());
        String id = Long.toHexString(0x9c41d07b00000000L + NEXT.incrementAndGet());
        String second = isDeadly ? DEADLY : "a1b2c3" + String.format("%02x", number % 7);
        String own = Long.toHexString(0xe4402b7dL + number);
        String head = "POST /pufi791/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Count: 1460,80\r\n"
            + "Prompt-Prefix: " + SHARED_PART + ":800," + second + ":410," + own + ":250\r\n";
        return Requester.send(entry.ip, fleet.frontPort, head, "prompt " + number, 4_000);
    }
}
