import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Hundreds of changes of a manifest with many routes, and then all processes of the core are killed at once. Their disks
 * are preserved, and each process is started again half a second after it has ended.
 */
public final class LargeLog {
    static final int ROUTES = 3_500;
    static final int CHANGES = 720;
    static final long CHANGES_MAX_MILLIS = 75_000;
    static final long RECOVER_MILLIS = 12_000;
    static final long READ_MILLIS = 6_000;

    public static void main(String[] args) { Case.run(() -> run(args)); }

    static int run(String[] args) throws Exception {
        boolean isTrouble = Case.hasTrouble();
        PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])), true);
        long zero = System.currentTimeMillis();
        BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        int code;
        try (Deployment d = new Deployment(3, 0)) {
            for (Deployment.Node n : d.controls) n.start(true);
            d.supervise(ends);
            String routes = routes();
            int acked = 0;
            int sent = 0;
            int node = 0;
            while (sent < CHANGES && System.currentTimeMillis() - zero < CHANGES_MAX_MILLIS) {
                byte[] body = manifest(++sent, routes);
                Http.Message m = null;
                long giveUp = System.currentTimeMillis() + 20_000;
                while (m == null && System.currentTimeMillis() < giveUp) {
                    try {
                        Http.Message answer = Http.call(d.controls.get(node).ip, d.controlPort, "PUT", "/config", body, 3500);
                        if (answer.status() == 200) m = answer;
                    } catch (IOException e) {
                        // The next node.
                    }
                    // The node that has acknowledged a change is asked first for the next one.
                    if (m == null) node = (node + 1) % d.controls.size();
                    if (m == null) Thread.sleep(20);
                }
                if (m == null) throw new IllegalStateException("version " + sent + " was not acknowledged");
                acked = sent;
                if (sent % 100 == 0 || sent == 1) {
                    record.println((System.currentTimeMillis() - zero) + " ms: version " + sent + " acknowledged, " + body.length + " bytes");
                }
            }
            record.println((System.currentTimeMillis() - zero) + " ms: the last acknowledged version is " + acked + ", the log of the first machine has "
                + Files.size(d.folder.resolve("data-0").resolve("log")) + " bytes");
            int endsBefore = ends.size();
            if (isTrouble) {
                for (Deployment.Node n : d.controls) n.stopped = true;
                for (Deployment.Node n : d.controls) n.process.destroyForcibly();
                for (Deployment.Node n : d.controls) n.process.waitFor();
                record.println((System.currentTimeMillis() - zero) + " ms: all three killed");
                Thread.sleep(500);
                for (Deployment.Node n : d.controls) n.start(false);
            }
            Thread.sleep(RECOVER_MILLIS);
            long end = System.currentTimeMillis() + READ_MILLIS;
            String read = null;
            for (int i = 0; read == null && System.currentTimeMillis() < end; i++) {
                Http.Message m = Http.operator(d, "GET", new byte[0], i, 1000);
                if (m != null && m.status() == 200) read = new String(m.body);
            }
            String readVersion = read == null ? "nothing" : read.substring(0, Math.min(40, read.length()));
            boolean isRead = read != null && read.equals(new String(manifest(acked, routes)));
            record.println((System.currentTimeMillis() - zero) + " ms: read back: " + readVersion);
            Map<String, Integer> counts = new TreeMap<>();
            for (String e : ends) counts.merge(e, 1, Integer::sum);
            record.println("ends of processes by themselves: " + counts + (endsBefore > 0 ? ", " + endsBefore + " of them before the kill" : ""));
            for (Deployment.Node n : d.controls) {
                Files.readAllLines(n.log).stream().filter(l -> l.contains("event=process_ends") || l.contains("invariant_broken"))
                    .limit(1).forEach(l -> record.println(n.name() + ": " + l.substring(0, Math.min(260, l.length()))));
            }
            System.out.println("acknowledged " + acked + ", read back " + readVersion + ", ends by themselves " + counts);
            code = acked < 100 ? 2 : isRead ? 0 : 1;
        }
        return code;
    }

    /** Routes with hosts, prefixes and names of the form that the bench's installations have. */
    static String routes() {
        Random r = new Random(1);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < ROUTES; i++) {
            if (i > 0) text.append(',');
            String name = Long.toString(r.nextLong() >>> 1, 36) + "0000000";
            text.append("{\"name\":\"r-").append(name, 0, 7).append("\",\"host\":\"").append(word(r, 2, 90)).append(".example\",\"path_prefix\":\"/")
                .append(word(r, 2, 900)).append('/').append(word(r, 1, 90))
                .append("/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":386,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":0}");
        }
        return text.toString();
    }

    static String word(Random r, int syllables, int numbers) {
        StringBuilder b = new StringBuilder();
        for (int i = 0; i < syllables; i++) b.append("bcdfghjklmnpqrstvwxz".charAt(r.nextInt(20))).append("aeiou".charAt(r.nextInt(5)));
        return b.append(10 + r.nextInt(numbers)).toString();
    }

    static byte[] manifest(int version, String routes) {
        return ("{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}").getBytes();
    }
}
