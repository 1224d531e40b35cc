import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some engines send bytes that are no answer, without end, until the caller closes. Do entries still answer when the time
 * limit of a route is over, also the requests of another service, whose servers are sound?
 */
final class EndlessAnswers {
    private static final String HOST = "ficu95.example";
    private static final String SERVICE = "huvo11a";
    private static final String SOUND_SERVICE = "wuno96b";
    private static final int STREAM_TIMEOUT_MILLIS = 5_000;
    private static final int SOUND_TIMEOUT_MILLIS = 600;
    private static final int TROUBLED_ENGINES = 3;
    private static final int BYTES_PER_SECOND = 780_000;
    private static final long STREAM_PAUSE_MILLIS = 25;
    private static final long SOUND_PAUSE_MILLIS = 95;
    private static final long PLAY_MILLIS = 45_000;
    private static final AtomicInteger NEXT = new AtomicInteger();

    /** The requests of one route: how many were sent, served, and unanswered at the timeout and half a second later. */
    private static final class Count {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
        final AtomicInteger unansweredLater = new AtomicInteger();

        void add(Requester.Result result, int timeoutMillis) {
            sent.incrementAndGet();
            if (result.status() == 200 && result.isSigned()) served.incrementAndGet();
            if (result.millis() > timeoutMillis) unanswered.incrementAndGet();
            if (result.millis() > timeoutMillis + 500) unansweredLater.incrementAndGet();
        }

        @Override
        public String toString() {
            return sent + " sent, " + served + " served, " + unanswered + " without an answer at the timeout, " + unansweredLater
                + " half a second later";
        }
    }

    private static final Count STREAMS = new Count();
    private static final Count SOUND = new Count();

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        String prefix = Fleet.loopbackPrefix();
        List<ModelEngine> engines = new ArrayList<>();
        List<PlainService> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) servers.add(new PlainService("i-5c20d1e" + i, prefix + (211 + i), 15));
        InstanceList list = new InstanceList(prefix + "250", () -> {
            List<String> entries = new ArrayList<>(ModelEngine.entries(engines, SERVICE));
            for (int i = 0; i < 3; i++) {
                PlainService server = servers.get(i);
                entries.add(InstanceList.entry(server.id, SOUND_SERVICE, server.address(), Fleet.ZONES[i], PlainService.SLOTS, "ready", null));
            }
            return entries;
        });
        for (int i = 0; i < 6; i++) {
            engines.add(new ModelEngine("i-7f3a91c" + i, prefix + (201 + i), i < 3 ? "prefill" : "decode", null, true, ModelEngine.Listener.NONE));
        }
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            return play(fleet, engines);
        }
    }

    private static int play(Fleet fleet, List<ModelEngine> engines) throws Exception {
        fleet.startAll(true);
        if (!fleet.putManifest(manifest(), 20_000) || !fleet.awaitReady(15_000)) {
            fleet.record("the system did not start");
            return 2;
        }
        Thread.sleep(4_000);
        if (Case.isTroubled()) {
            List<ModelEngine> troubled = engines.stream().filter(it -> it.stage.equals("decode")).limit(TROUBLED_ENGINES).toList();
            for (ModelEngine engine : troubled) engine.endlessBytesPerSecond = BYTES_PER_SECOND;
            fleet.record("%d of %d engines send bytes without end", troubled.size(), engines.size());
        }
        long end = Fleet.nowMillis() + PLAY_MILLIS;
        Thread streams = sender(STREAM_PAUSE_MILLIS, end, number -> {
            Requester.Result result = Requester.send(entry(fleet, number).ip, fleet.frontPort, streamHead(number), "prompt " + number, STREAM_TIMEOUT_MILLIS);
            STREAMS.add(result, STREAM_TIMEOUT_MILLIS);
            if (number % 60 == 0) fleet.record("stream %d over %s: %s", number, entry(fleet, number).name, result);
        });
        Thread sound = sender(SOUND_PAUSE_MILLIS, end, number -> {
            Requester.Result result = Requester.send(entry(fleet, number).ip, fleet.frontPort, soundHead(number), "", SOUND_TIMEOUT_MILLIS);
            SOUND.add(result, SOUND_TIMEOUT_MILLIS);
            if (number % 30 == 0) fleet.record("sound %d over %s: %s", number, entry(fleet, number).name, result);
        });
        streams.join();
        sound.join();
        Thread.sleep(STREAM_TIMEOUT_MILLIS + 4_000);
        fleet.record("requests to %s: %s", SERVICE, STREAMS);
        fleet.record("requests to %s, which is sound: %s", SOUND_SERVICE, SOUND);
        for (Fleet.Node node : fleet.all()) if (!node.process.isAlive()) fleet.record("process %s has ended with %d", node.name, node.process.exitValue());
        int unanswered = STREAMS.unanswered.get() + SOUND.unanswered.get();
        int later = STREAMS.unansweredLater.get() + SOUND.unansweredLater.get();
        fleet.record("without an answer at the timeout of their route: %d, half a second later: %d", unanswered, later);
        boolean isBroken = later >= 8 && later * 4 > unanswered;
        fleet.record(isBroken ? "CONFIG is broken: eight or more, and over a quarter" : "CONFIG held");
        return isBroken ? 1 : 0;
    }

    interface Request {
        void send(int number);
    }

    private static Thread sender(long pauseMillis, long end, Request request) {
        Thread thread = new Thread(() -> {
            while (Fleet.nowMillis() < end) {
                int number = NEXT.incrementAndGet();
                InstanceList.daemon(() -> request.send(number));
                try {
                    Thread.sleep(pauseMillis);
                } catch (InterruptedException failure) {
                    return;
                }
            }
        });
        thread.start();
        return thread;
    }

    private static Fleet.Node entry(Fleet fleet, int number) {
        return fleet.entries.get(number % fleet.entries.size());
    }

    private static String streamHead(int number) {
        return "POST /pufi791/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + Long.toHexString(0x9c41d07b00000000L + number)
            + "\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,a1b2c3d" + number % 7 + ":410,e4402b" + number + ":250\r\n";
    }

    private static String soundHead(int number) {
        return "GET /lohu930/lo" + number % 20 + "/ HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: "
            + Long.toHexString(0x9c41d07b00000000L + number) + "\r\n";
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-h2b9wu3\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/pufi791/\","
            + "\"kind\":\"streaming\",\"timeout_ms\":" + STREAM_TIMEOUT_MILLIS + ",\"target_latency_ms\":400,\"priority\":0,\"service\":\""
            + SERVICE + "\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":200},{\"name\":\"r-ji9n73h\",\"host\":\""
            + HOST + "\",\"path_prefix\":\"/lohu930/\",\"kind\":\"idempotent\",\"timeout_ms\":" + SOUND_TIMEOUT_MILLIS
            + ",\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + SOUND_SERVICE + "\",\"max_attempts\":2,\"sticky\":false,"
            + "\"resumable\":false}],\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\",\"max_connections\":370,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":532232,\"token_kv_bytes\":163840,"
            + "\"link_mbps\":1600000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\"handle_ttl_s\":5.0,\"reconfig_s\":3.0,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"" + SOUND_SERVICE
            + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
