import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The provider's list has an entry of another writer that lacks the field "version". It names a route's service and the
 * address and id of a server of another service. Does that server get requests of the route?
 */
final class MissingField {
    private static final String HOST = "ficu95.example";
    private static final String SERVICE = "wuno96b";
    private static final String OTHER_SERVICE = "xano55b";

    public static void main(String[] arguments) {
        Case.run(() -> run(Path.of(arguments[0], "record.txt")));
    }

    private static int run(Path record) throws Exception {
        String prefix = Fleet.loopbackPrefix();
        List<PlainService> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) servers.add(new PlainService("i-7f3a91c" + i, prefix + (201 + i), 15));
        PlainService other = new PlainService("i-9b02d4e1", prefix + 211, 15);
        InstanceList list = new InstanceList(prefix + "250", () -> {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                PlainService server = servers.get(i);
                entries.add(InstanceList.entry(server.id, SERVICE, server.address(), Fleet.ZONES[i], PlainService.SLOTS, "ready", null));
            }
            return entries;
        });
        try (Fleet fleet = new Fleet(3, list.address, prefix, record)) {
            return play(fleet, list, other);
        }
    }

    private static int play(Fleet fleet, InstanceList list, PlainService other) throws Exception {
        String manifest = "{\"version\":7,\"routes\":[{\"name\":\"r-ji9n73h\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/lohu930/\","
            + "\"kind\":\"non_idempotent\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + SERVICE + "\","
            + "\"max_attempts\":1,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"" + SERVICE + "\","
            + "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"" + OTHER_SERVICE + "\","
            + "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        fleet.startAll(true);
        if (!fleet.putManifest(manifest, 20_000) || !fleet.awaitReady(15_000)) {
            fleet.record("the system did not start");
            return 2;
        }
        if (Case.isTroubled()) {
            String entry = InstanceList.entry(other.id, SERVICE, other.address(), Fleet.ZONES[0], PlainService.SLOTS, "ready", null)
                .replace("\"version\":\"v1\",", "");
            list.otherEntries.add(entry);
            fleet.record("the list has one more entry, of another writer: %s", entry);
        }
        Thread.sleep(4_000);
        int sent = 0;
        int served = 0;
        int servedByOther = 0;
        long end = Fleet.nowMillis() + 15_000;
        while (Fleet.nowMillis() < end) {
            Fleet.Node entry = fleet.entries.get(sent % fleet.entries.size());
            String id = Long.toHexString(0x9c41d07b00000000L + sent);
            String head = "POST /lohu930/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n";
            Requester.Result result = Requester.send(entry.ip, fleet.frontPort, head, "book " + sent, 600);
            sent++;
            if (result.status() == 200 && result.isSigned()) served++;
            if (other.runMillis.containsKey(id)) {
                if (result.status() == 200) servedByOther++;
                if (servedByOther < 6) fleet.record("%s over %s: run by %s of service %s; the caller gets %s", id, entry.name, other.id, OTHER_SERVICE, result);
            }
            Thread.sleep(100);
        }
        int runs = other.runs.get();
        fleet.record("requests sent: %d, answered with 200: %d, of these answers of the server of %s: %d", sent, served, OTHER_SERVICE, servedByOther);
        fleet.record("requests that the server of %s has run: %d", OTHER_SERVICE, runs);
        fleet.record(runs > 0 ? "ROUTE is broken: run by a service to which no manifest allows them to go" : "ROUTE held");
        return runs > 0 ? 1 : 0;
    }
}
