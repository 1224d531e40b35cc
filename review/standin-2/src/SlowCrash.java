import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes a server that runs it, not quite half a second after it has begun to run it. It comes again, with the same
 * path, caller and body, at any machine. How often do entries repeat it later than settle_window_ms after its third crash?
 */
final class SlowCrash {
    private static final String HOST = "ficu95.example";
    private static final String SERVICE = "wuno96b";
    private static final String DEADLY_TARGET = "/lohu930/lo7/";
    private static final long SETTLE_MILLIS = 3_000;
    private static final long CRASH_MILLIS = 450;
    private static final long BACK_MILLIS = 2_000;
    private static final long PLAY_MILLIS = 50_000;

    private static final List<Long> CRASHES = new ArrayList<>();
    private static final List<Long> REPEATS = new ArrayList<>();
    private static final Set<String> ARRIVED = new HashSet<>();
    private static final AtomicInteger NEXT = new AtomicInteger();

    /** A server of which the deadly request takes the life. Most servers drop a request when its channel closes. */
    static final class Server extends PlainService {
        private final boolean drops;
        private final Fleet[] fleet;
        private boolean isUp = true;

        Server(String id, String ip, boolean drops, Fleet[] fleet) throws IOException {
            super(id, ip, 15);
            this.drops = drops;
            this.fleet = fleet;
        }

        @Override
        boolean answer(Message request, OutputStream out) throws Exception {
            boolean isOwn = id.equals(request.field("Expect-Instance"));
            if (!request.target().equals(DEADLY_TARGET) || !isOwn || !Case.isTroubled()) return super.answer(request, out);
            arrived(request);
            // A server stops work at the time limit that it was given.
            long workMillis = Math.min(CRASH_MILLIS, Long.parseLong(request.field("Deadline-Ms")));
            if (drops) {
                if (isClosedWithin(workMillis)) {
                    fleet[0].record("server %s drops it, as its channel was closed", id);
                    return false;
                }
            } else {
                Thread.sleep(workMillis);
            }
            if (workMillis < CRASH_MILLIS) return false;
            crashed();
            return false;
        }

        private void arrived(Message request) {
            String requestId = request.field("Request-Id");
            synchronized (CRASHES) {
                boolean isRepeat = !ARRIVED.add(requestId);
                if (isRepeat) REPEATS.add(Fleet.nowMillis());
                fleet[0].record("server %s runs the deadly request %s%s", id, requestId, isRepeat ? ", sent once more" : "");
            }
        }

        private synchronized void crashed() throws IOException {
            if (!isUp) return;
            isUp = false;
            crash();
            synchronized (CRASHES) {
                CRASHES.add(Fleet.nowMillis());
                fleet[0].record("crash %d: server %s", CRASHES.size(), id);
            }
            InstanceList.daemon(() -> {
                Thread.sleep(BACK_MILLIS);
                restart("i-8e" + Integer.toHexString(0x1000 + NEXT.incrementAndGet()));
                isUp = true;
            });
        }
    }

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        String prefix = Fleet.loopbackPrefix();
        Fleet[] holder = new Fleet[1];
        List<Server> servers = new ArrayList<>();
        // One of three doesn't drop a request when its channel closes.
        for (int i = 0; i < 3; i++) servers.add(new Server("i-7f3a91c" + i, prefix + (201 + i), i > 0, holder));
        InstanceList list = new InstanceList(prefix + "250", () -> {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Server server = servers.get(i);
                entries.add(InstanceList.entry(server.id, SERVICE, server.address(), Fleet.ZONES[i], 6, "ready", null));
            }
            return entries;
        });
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            holder[0] = fleet;
            return play(fleet);
        }
    }

    private static int play(Fleet fleet) throws Exception {
        String manifest = "{\"version\":7,\"routes\":[{\"name\":\"r-ji9n73h\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/lohu930/\","
            + "\"kind\":\"idempotent\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + SERVICE + "\","
            + "\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"" + SERVICE + "\","
            + "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        fleet.startAll(true);
        if (!fleet.putManifest(manifest, 20_000) || !fleet.awaitReady(15_000)) {
            fleet.record("the system did not start");
            return 2;
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        long end = Fleet.nowMillis() + PLAY_MILLIS;
        for (int i = 0; Fleet.nowMillis() < end; i++) {
            int number = i;
            // One request in twenty is the deadly one; the others are for five subjects.
            boolean isDeadly = i % 20 == 19;
            InstanceList.daemon(() -> {
                String target = isDeadly ? DEADLY_TARGET : "/lohu930/lo" + (20 + number % 5) + "/";
                Fleet.Node entry = fleet.entries.get(number / 20 % fleet.entries.size());
                String id = Long.toHexString(0x9c41d07b00000000L + number);
                String head = "GET " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n";
                Requester.Result result = Requester.send(entry.ip, fleet.frontPort, head, "", 600);
                if (isDeadly) {
                    fleet.record("the deadly request %s over %s: %s", id, entry.name, result);
                    return;
                }
                sent.incrementAndGet();
                if (result.status() == 200 && result.isSigned()) served.incrementAndGet();
                if (result.status() == 503) refused.incrementAndGet();
            });
            Thread.sleep(75);
        }
        Thread.sleep(2_000);
        fleet.record("sound requests: %d sent, %d served, %d refused", sent.get(), served.get(), refused.get());
        fleet.record("lines of the logs with event=request_quarantined: %d", fleet.logLines("event=request_quarantined"));
        synchronized (CRASHES) {
            fleet.record("crashes: %d", CRASHES.size());
            if (CRASHES.size() < 3) {
                fleet.record("BUDGET held: fewer than three crashes");
                return 0;
            }
            long from = CRASHES.get(2) + SETTLE_MILLIS;
            long late = REPEATS.stream().filter(it -> it > from).count();
            fleet.record("repeats that reached servers later than settle_window_ms after the third crash: %d", late);
            fleet.record(late > 3 ? "BUDGET is broken: more than three" : "BUDGET held");
            return late > 3 ? 1 : 0;
        }
    }
}
