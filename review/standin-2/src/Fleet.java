import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The programs of the deploy file as processes on loopback addresses: three control instances and some entries. Also
 * the operator, and the record of the run.
 */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)\\}\\}");
    private static final long START_NANOS = System.nanoTime();

    /** One machine of the deployment with its process. */
    final class Node {
        final String name;
        final String role;
        final String ip;
        final String zone;
        Process process;

        Node(String name, String role, String ip, String zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
        }

        void start(boolean isFirstStart) throws IOException {
            Files.createDirectories(dataFolder());
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, render(this, isFirstStart));
            ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" +"));
            Map<String, String> outer = new HashMap<>(builder.environment());
            builder.environment().clear();
            for (String key : new String[] {"PATH", "HOME", "JAVA_HOME", "LANG"}) {
                if (outer.containsKey(key)) builder.environment().put(key, outer.get(key));
            }
            builder.environment().put("MARIGOLDWARD_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }

        Path dataFolder() {
            return folder.resolve("data-" + name);
        }

        Path log() {
            return folder.resolve(name + ".log");
        }
    }

    final Path folder;
    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final String prefix;
    private final int rpcPort;
    private final int metricsPort;
    private final InetSocketAddress listAddress;
    private final Map<String, String> commands = new HashMap<>();
    private final PrintWriter record;

    Fleet(int entryCount, InetSocketAddress listAddress, String prefix, Path record) throws IOException {
        this.listAddress = listAddress;
        this.prefix = prefix;
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        folder = Files.createTempDirectory("review");
        readCommands();
        int[] ports = freePorts(5);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        rpcPort = ports[3];
        metricsPort = ports[4];
        for (int i = 0; i < 3; i++) controls.add(new Node("core-" + (i + 1), "control", prefix + (11 + i), ZONES[i]));
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Node("front-" + (i + 1), "entry", prefix + (101 + i), ZONES[i % 3]));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Returns a prefix of loopback addresses that differs between processes that run at the same time. */
    static String loopbackPrefix() {
        return "127." + (20 + ProcessHandle.current().pid() % 200) + "." + (1 + ProcessHandle.current().pid() / 200 % 250) + ".";
    }

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void record(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f  ", nowMillis() / 1000.0) + String.format(Locale.ROOT, format, arguments);
        record.println(line);
        System.out.println(line);
    }

    void startAll(boolean isFirstStart) throws IOException {
        for (Node node : all()) node.start(isFirstStart);
    }

    List<Node> all() {
        List<Node> nodes = new ArrayList<>(controls);
        nodes.addAll(entries);
        return nodes;
    }

    /** Sends the manifest as an operator does until it is acknowledged, and returns whether it was within the time. */
    boolean putManifest(String manifest, long withinMillis) throws InterruptedException {
        long end = nowMillis() + withinMillis;
        for (int i = 0; nowMillis() < end; i++) {
            String address = controls.get(i % controls.size()).ip + ":" + controlPort;
            for (int redirects = 0; redirects < 3; redirects++) {
                Message answer = callOrNull(address, "PUT", "/config", manifest);
                if (answer == null) break;
                if (answer.status() == 200) return true;
                if (answer.status() != 307) break;
                address = answer.field("Location").replaceFirst("http://", "").replaceFirst("/.*", "");
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Waits until all entries say that they are ready, and returns whether they did within the time. */
    boolean awaitReady(long withinMillis) throws InterruptedException {
        long end = nowMillis() + withinMillis;
        while (nowMillis() < end) {
            int ready = 0;
            for (Node entry : entries) {
                Message answer = callOrNull(entry.ip + ":" + readyPort, "GET", "/readiness", "");
                if (answer != null && answer.status() == 200) ready++;
            }
            if (ready == entries.size()) return true;
            Thread.sleep(200);
        }
        return false;
    }

    private static Message callOrNull(String address, String method, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(2_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            return Message.readResponse(socket.getInputStream());
        } catch (IOException failure) {
            return null;
        }
    }

    /** Returns how many lines of the logs of all nodes contain the text. */
    long logLines(String text) throws IOException {
        long count = 0;
        for (Node node : all()) {
            try (Stream<String> lines = Files.lines(node.log(), StandardCharsets.ISO_8859_1)) {
                count += lines.filter(line -> line.contains(text)).count();
            }
        }
        return count;
    }

    private void endProcesses() {
        for (Node node : all()) if (node.process != null) node.process.destroyForcibly();
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Node node : all()) {
            try {
                if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("kept: " + folder);
            return;
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    private void readCommands() throws IOException {
        String role = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) role = line.substring("[roles.".length(), line.indexOf(']'));
            if (line.startsWith("run = ")) commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
        }
    }

    private String render(Node node, boolean isFirstStart) throws IOException {
        Map<String, String> values = new HashMap<>();
        values.put("ip", node.ip);
        values.put("node_name", node.name);
        values.put("zone", node.zone);
        values.put("listen.front", node.ip + ":" + frontPort);
        values.put("listen.ready", node.ip + ":" + readyPort);
        values.put("listen.control", node.ip + ":" + controlPort);
        values.put("internal_ports.0", "" + rpcPort);
        values.put("internal_ports.1", "" + metricsPort);
        values.put("data_dir", node.dataFolder().toString());
        values.put("seeds", String.join(",", controls.stream().map(it -> it.ip + ":" + controlPort).toList()));
        values.put("bootstrap", "" + isFirstStart);
        values.put("fault_tolerance.machines", "1");
        values.put("cloud_api.address", listAddress.getAddress().getHostAddress() + ":" + listAddress.getPort());
        values.put("limits.max_fds", "4100");
        values.put("bounds.catch_up_s", "4");
        values.put("bounds.lease_ms", "3000");
        values.put("bounds.enforce_fencing", "true");
        values.put("bounds.grace_s", "8");
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.retry_budget_slack", "56");
        values.put("bounds.budget_window_s", "10");
        Matcher matcher = PLACEHOLDER.matcher(Files.readString(Path.of("platform/templates/" + node.role + ".ini")));
        return matcher.replaceAll(it -> Matcher.quoteReplacement(values.getOrDefault(it.group(1), "")));
    }

    static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        ServerSocket[] sockets = new ServerSocket[count];
        for (int i = 0; i < count; i++) {
            // Bound to all addresses, since the nodes use the same ports on several.
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }
}
