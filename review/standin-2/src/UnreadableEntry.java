import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes are killed and started again while the provider's list has an entry of another writer, of which a
 * text can't be read. Do requests get served once recover_s is over?
 */
final class UnreadableEntry {
    private static final String HOST = "ficu95.example";
    private static final String SERVICE = "wuno96b";
    private static final long RECOVER_MILLIS = 12_000;

    /** A byte of the id is written in an escape that JSON doesn't have. */
    private static final String UNREADABLE = "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
        + "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"id\":\"i-\\x9f2b\"}";

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        String prefix = Fleet.loopbackPrefix();
        List<PlainService> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) servers.add(new PlainService("i-7f3a91c" + i, prefix + (201 + i), 15));
        InstanceList list = new InstanceList(prefix + "250", () -> {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                PlainService server = servers.get(i);
                entries.add(InstanceList.entry(server.id, SERVICE, server.address(), Fleet.ZONES[i], 6, "ready", null));
            }
            return entries;
        });
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            return play(fleet, list, Case.isTroubled() ? List.of(UNREADABLE) : List.of());
        }
    }

    private static int play(Fleet fleet, InstanceList list, List<String> others) throws Exception {
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
        int[] before = send(fleet, "before the final fault", 5_000);
        if (before[1] * 4 < before[0]) return 2;
        list.otherEntries.addAll(others);
        for (String other : others) fleet.record("the list has one more entry, of another writer: %s", other);
        Thread.sleep(2_000);
        for (Fleet.Node node : fleet.all()) node.kill();
        fleet.record("final fault: all processes are killed");
        Thread.sleep(1_000);
        fleet.startAll(false);
        fleet.record("all processes are started again");
        long readsBefore = list.reads.get();
        Thread.sleep(RECOVER_MILLIS + 1_000);
        int[] after = send(fleet, "later than recover_s after the processes are back", 12_000);
        fleet.record("the list was read %d times since the start", list.reads.get() - readsBefore);
        fleet.record("lines of the logs with event=directory_lost: %d", fleet.logLines("event=directory_lost"));
        boolean isBroken = after[1] * 4 < after[0];
        fleet.record(isBroken ? "RECOVER is broken: less than a quarter is served" : "RECOVER held");
        return isBroken ? 1 : 0;
    }

    /** Sends requests to all entries in turn; returns how many were sent and how many were served. */
    private static int[] send(Fleet fleet, String when, long forMillis) throws Exception {
        long end = Fleet.nowMillis() + forMillis;
        int sent = 0;
        int served = 0;
        AtomicInteger lines = new AtomicInteger();
        while (Fleet.nowMillis() < end) {
            Fleet.Node entry = fleet.entries.get(sent % fleet.entries.size());
            String id = Long.toHexString(0x9c41d07b00000000L + Fleet.nowMillis() * 1000 + sent);
            String head = "GET /lohu930/lo" + sent % 20 + "/ HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n";
            Requester.Result result = Requester.send(entry.ip, fleet.frontPort, head, "", 600);
            sent++;
            if (result.status() == 200 && result.isSigned()) served++;
            if (lines.getAndIncrement() < 6) fleet.record("%s to %s: %s", id, entry.name, result);
            Thread.sleep(100);
        }
        fleet.record("%s: %d requests sent, %d served", when, sent, served);
        return new int[] {sent, served};
    }
}
