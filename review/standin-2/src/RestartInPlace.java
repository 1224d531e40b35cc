import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of one service are restarted one after the other: each is listed as draining, ends, and starts again at its
 * address under the id that it had. Are the requests of that service still served afterwards?
 */
final class RestartInPlace {
    private static final String HOST = "ficu95.example";
    private static final String[] SERVICES = {"wuno96b", "xano55b", "huvo11a"};
    private static final String[] ROUTES = {"lohu930", "pufi791", "cuti104"};
    private static final long DRAIN_MILLIS = 3_000;
    private static final long LINGER_MILLIS = 500;
    private static final long DOWN_MILLIS = 500;
    private static final long LAG_MILLIS = 800;
    private static final long PLAY_MILLIS = 85_000;

    /** A server that can drain. It says in all its answers that it leaves, and when its process has started. */
    static final class Server extends PlainService {
        volatile String state = "ready";
        volatile String listedState = "ready";
        volatile long born = System.currentTimeMillis();
        volatile long listedBorn = born;

        Server(String id, String ip) throws java.io.IOException {
            super(id, ip, 15);
        }

        @Override
        String extraFields() {
            return state.equals("draining") ? "Server-Leaving: 1\r\nConnection: close\r\n" : "";
        }

        String entry(String service, String zone) {
            String entry = InstanceList.entry(id, service, address(), zone, SLOTS, listedState, null);
            return entry.substring(0, entry.length() - 1) + ",\"born\":" + listedBorn + "}";
        }

        /** Shows the state in the list with its delay. */
        void list() {
            String nextState = state;
            long nextBorn = born;
            InstanceList.daemon(() -> {
                Thread.sleep(LAG_MILLIS);
                listedState = nextState;
                listedBorn = nextBorn;
            });
        }
    }

    private static final AtomicInteger[] SENT = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
    private static final AtomicInteger[] SERVED = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        String prefix = Fleet.loopbackPrefix();
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 9; i++) servers.add(new Server("i-7f3a91c" + i, prefix + (201 + i)));
        InstanceList list = new InstanceList(prefix + "250", () -> {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 9; i++) entries.add(servers.get(i).entry(SERVICES[i / 3], Fleet.ZONES[i % 3]));
            return entries;
        });
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            return play(fleet, servers);
        }
    }

    private static int play(Fleet fleet, List<Server> servers) throws Exception {
        fleet.startAll(true);
        if (!fleet.putManifest(manifest(), 20_000) || !fleet.awaitReady(15_000)) {
            fleet.record("the system did not start");
            return 2;
        }
        long end = Fleet.nowMillis() + PLAY_MILLIS;
        List<Thread> senders = new ArrayList<>();
        for (int kind = 0; kind < 3; kind++) senders.add(sender(fleet, kind, end));
        Thread.sleep(1_000);
        if (Case.isTroubled()) {
            for (Server server : servers.subList(0, 3)) restart(fleet, server);
            fleet.record("all servers of %s have been restarted and are listed as ready", SERVICES[0]);
        }
        int sentBefore = SENT[0].get();
        int servedBefore = SERVED[0].get();
        for (Thread sender : senders) sender.join();
        fleet.record("requests to %s since then: %d sent, %d served", SERVICES[0], SENT[0].get() - sentBefore, SERVED[0].get() - servedBefore);
        int sent = 0;
        int served = 0;
        for (int kind = 0; kind < 3; kind++) {
            fleet.record("requests to %s: %d sent, %d served", SERVICES[kind], SENT[kind].get(), SERVED[kind].get());
            sent += SENT[kind].get();
            served += SERVED[kind].get();
        }
        double shareOfKind = SERVED[0].get() / (double) SENT[0].get();
        double shareOfAll = served / (double) sent;
        boolean isBroken = shareOfKind < shareOfAll / 4;
        fleet.record("served of %s: %.3f, of all: %.3f", SERVICES[0], shareOfKind, shareOfAll);
        fleet.record(isBroken ? "Starved is broken: less than a quarter as often as all" : "Starved held");
        return isBroken ? 1 : 0;
    }

    private static void restart(Fleet fleet, Server server) throws Exception {
        server.state = "draining";
        server.list();
        fleet.record("server %s leaves", server.id);
        Thread.sleep(LAG_MILLIS + DRAIN_MILLIS + LINGER_MILLIS);
        server.crash();
        Thread.sleep(DOWN_MILLIS);
        server.state = "ready";
        server.born = System.currentTimeMillis();
        server.restart(server.id);
        server.list();
        fleet.record("server %s has started again", server.id);
        Thread.sleep(LAG_MILLIS);
    }

    private static Thread sender(Fleet fleet, int kind, long end) {
        Thread thread = new Thread(() -> {
            for (int i = 0; Fleet.nowMillis() < end; i++) {
                Fleet.Node entry = fleet.entries.get(i % fleet.entries.size());
                String id = Long.toHexString(0x9c41d07b00000000L + kind * 0x1000000L + i);
                String head = "GET /" + ROUTES[kind] + "/lo" + i % 20 + "/ HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n";
                Requester.Result result = Requester.send(entry.ip, fleet.frontPort, head, "", 600);
                SENT[kind].incrementAndGet();
                if (result.status() == 200 && result.isSigned()) SERVED[kind].incrementAndGet();
                if (kind == 0 && i % 40 == 0) fleet.record("%s to %s over %s: %s", id, SERVICES[0], entry.name, result);
                try {
                    Thread.sleep(100);
                } catch (InterruptedException failure) {
                    return;
                }
            }
        });
        thread.start();
        return thread;
    }

    private static String manifest() {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int kind = 0; kind < 3; kind++) {
            String separator = kind == 0 ? "" : ",";
            routes.append(separator).append("{\"name\":\"r-").append(kind).append("\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/")
                .append(ROUTES[kind]).append("/\",\"kind\":\"idempotent\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,")
                .append("\"service\":\"").append(SERVICES[kind]).append("\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}");
            services.append(separator).append("{\"name\":\"").append(SERVICES[kind])
                .append("\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services + "],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
