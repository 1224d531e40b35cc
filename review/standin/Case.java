import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    /** Whether the disruption takes place. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private PrintWriter record;
    private final long startNanos = System.nanoTime();

    /** Returns whether the rule held. */
    abstract boolean run() throws Exception;

    final synchronized void record(String line) {
        String text = String.format("%8.3f %s", (System.nanoTime() - startNanos) / 1e9, line);
        record.println(text);
        record.flush();
    }

    final void start() throws IOException {
        Path file = Path.of(System.getProperty("record"));
        record = new PrintWriter(Files.newBufferedWriter(file));
        int code;
        try {
            code = run() ? 0 : 1;
            record(code == 0 ? "The rule held." : "The rule was broken.");
        } catch (Throwable e) {
            record("The case could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        record.close();
        System.exit(code);
    }

    /** An entry of the platform's list of upstreams. */
    static String listed(String id, String service, String address, int slots, boolean isEngine) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + Deployment.ZONE
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + (isEngine ? "\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]," : "")
            + "\"id\":\"" + id + "\"}";
    }

    static String route(String name, String prefix, String kind, int timeoutMillis, int targetMillis, String service,
        int maxAttempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
            + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
            + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + maxAttempts
            + ",\"sticky\":false,\"resumable\":false,\"target_gap_ms\":200}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name
            + "\",\"health_path\":\"/health\",\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String manifest(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }
}
