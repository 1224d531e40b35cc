import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/** Starts the programs of deploy/system.toml as processes on loopback addresses, with settings of a small deployment. */
public final class Deployment implements AutoCloseable {
    public final Path folder;
    public final int controlPort = freePort();
    public final int frontPort = freePort();
    public final int readyPort = freePort();
    public final int rpcPort = freePort();
    public final int metricsPort = freePort();
    public final Provider provider;
    public final List<Node> controls = new ArrayList<>();
    public final List<Node> entries = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final String[] zones = {"ljubljana-a", "ljubljana-b", "ljubljana-c"};
    private final Map<String, String> deploy = readDeploy();

    public Deployment(int controlCount, int entryCount) throws Exception {
        folder = Files.createTempDirectory("marigoldward-case");
        provider = new Provider();
        // Also ends the processes if the case is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Node n : all()) if (n.process != null) n.process.destroyForcibly();
        }));
        for (int i = 0; i < controlCount; i++) controls.add(new Node(true, i, "127.0.0." + (11 + i)));
        for (int i = 0; i < entryCount; i++) entries.add(new Node(false, i, "127.0.0." + (21 + i)));
    }

    /** One machine with one program. */
    public final class Node {
        public final boolean isControl;
        public final int number;
        public final String ip;
        public final String zone;
        public final Path log;
        public volatile Process process;
        public volatile boolean stopped;
        public int starts;

        Node(boolean isControl, int number, String ip) {
            this.isControl = isControl;
            this.number = number;
            this.ip = ip;
            this.zone = zones[number % zones.length];
            this.log = folder.resolve((isControl ? "control-" : "entry-") + number + ".log");
        }

        public String name() { return (isControl ? "core-" : "front-") + zone + "-" + number; }

        public synchronized void start(boolean bootstrap) throws Exception {
            Map<String, String> values = new HashMap<>();
            values.put("node_name", name());
            values.put("ip", ip);
            values.put("zone", zone);
            values.put("listen.control", ip + ":" + controlPort);
            values.put("listen.front", ip + ":" + frontPort);
            values.put("listen.ready", ip + ":" + readyPort);
            values.put("internal_ports.0", "" + rpcPort);
            values.put("internal_ports.1", "" + metricsPort);
            values.put("data_dir", folder.resolve("data-" + number).toString());
            StringJoiner seeds = new StringJoiner(",");
            for (Node c : controls) if (c.number < 3) seeds.add(c.ip + ":" + controlPort);
            values.put("seeds", seeds.toString());
            values.put("bootstrap", "" + bootstrap);
            values.put("fault_tolerance.machines", "1");
            values.put("bounds.catch_up_s", "4");
            values.put("bounds.lease_ms", "3000");
            values.put("bounds.grace_s", "8");
            values.put("bounds.enforce_fencing", "true");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_budget_slack", "56");
            values.put("bounds.budget_window_s", "10");
            values.put("limits.max_fds", "4100");
            values.put("cloud_api.address", provider.address());
            String role = isControl ? "control" : "entry";
            String text = Files.readString(root.resolve(deploy.get(role + ".template")));
            Matcher m = Pattern.compile("\\{\\{([a-z0-9_.]+)\\}\\}").matcher(text);
            StringBuilder filled = new StringBuilder();
            while (m.find()) m.appendReplacement(filled, Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
            m.appendTail(filled);
            Path settings = folder.resolve(role + "-" + number + ".ini");
            Files.writeString(settings, filled.toString());
            ProcessBuilder builder = new ProcessBuilder(deploy.get(role + ".run").split(" "));
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MARIGOLDWARD_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            stopped = false;
            starts++;
            process = builder.start();
        }

        public synchronized void kill() throws Exception {
            stopped = true;
            if (process != null) {
                process.destroyForcibly();
                process.waitFor();
            }
        }

        public boolean isAlive() { return process != null && process.isAlive(); }
    }

    /** Restarts each process that ends by itself half a second later, as the provider does, and adds a line to [ends]. */
    public void supervise(BlockingQueue<String> ends) {
        Thread t = new Thread(() -> {
            while (true) {
                for (Node n : all()) {
                    try {
                        if (n.process != null && !n.stopped && !n.process.isAlive()) {
                            ends.add(n.name() + " ended by itself with code " + n.process.exitValue());
                            Thread.sleep(500);
                            n.start(false);
                        }
                        Thread.sleep(20);
                    } catch (Exception e) {
                        return;
                    }
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    public List<Node> all() {
        List<Node> nodes = new ArrayList<>(controls);
        nodes.addAll(entries);
        return nodes;
    }

    /** Waits until the entry reports that it is ready, or throws. */
    public void awaitReady(Node entry, long maxMillis) throws Exception {
        long end = System.currentTimeMillis() + maxMillis;
        while (System.currentTimeMillis() < end) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(entry.ip, readyPort), 300);
                s.setSoTimeout(500);
                s.getOutputStream().write(("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes());
                byte[] b = s.getInputStream().readNBytes(12);
                if (new String(b).equals("HTTP/1.1 200")) return;
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(entry.name() + " did not become ready");
    }

    private Map<String, String> readDeploy() throws IOException {
        Map<String, String> values = new HashMap<>();
        String role = "";
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            Matcher section = Pattern.compile("\\[roles\\.(.+)\\]").matcher(line.trim());
            Matcher value = Pattern.compile("(run|template) = \"(.*)\"").matcher(line.trim());
            if (section.matches()) role = section.group(1);
            if (value.matches()) values.put(role + "." + value.group(1), value.group(2));
        }
        return values;
    }

    public static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        for (Node n : all()) n.kill();
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }
}
