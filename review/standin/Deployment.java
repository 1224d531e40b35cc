import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the project's own programs as processes, and the platform's list of upstreams. */
final class Deployment implements AutoCloseable {
    static final String ZONE = "zone-a";
    private static final int SEEDS = 3;

    final int controlCount;
    final int entryCount;
    final int callerPort;
    final int operatorPort;
    private final int readyPort;
    private final int rpcPort;
    private final int metricsPort;
    private final int network;
    private final int retrySlack;
    private final Path folder;
    private final File root;
    private final ServerSocket listSocket;
    private final Process[] controls;
    private final Process[] entries;
    /** Returns the entries of the list of upstreams, each a JSON object. */
    volatile Supplier<List<String>> list = ArrayList::new;

    Deployment(int controlCount, int entryCount, int retrySlack) throws IOException {
        this.controlCount = controlCount;
        this.entryCount = entryCount;
        this.retrySlack = retrySlack;
        root = new File(System.getProperty("root"));
        folder = Files.createTempDirectory("review");
        network = 100 + (int) (ProcessHandle.current().pid() % 100);
        callerPort = freePort();
        operatorPort = freePort();
        readyPort = freePort();
        rpcPort = freePort();
        metricsPort = freePort();
        listSocket = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Http.serve(listSocket, (request, socket) -> {
            String body = "{\"instances\":[" + String.join(",", list.get()) + "],\"next\":null}";
            Http.write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
            return true;
        });
        controls = new Process[controlCount];
        entries = new Process[entryCount];
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String controlIp(int number) {
        return "127.0." + network + "." + (1 + number);
    }

    String entryIp(int number) {
        return "127.0." + network + "." + (101 + number);
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) seeds.add(controlIp(i) + ":" + operatorPort);
        return String.join(",", seeds);
    }

    void startControl(int number, boolean isFirstStart) throws IOException {
        String settings = "[control]\n"
            + "ip = " + controlIp(number) + "\n"
            + "data_centre = " + ZONE + "\n"
            + "operator_listen = " + controlIp(number) + ":" + operatorPort + "\n"
            + "rpc_port = " + rpcPort + "\n"
            + "data_folder = " + folder.resolve("disk-" + number) + "\n"
            + "seeds = " + seeds() + "\n"
            + "first_start = " + isFirstStart + "\n"
            + "lost_instances = 1\n"
            + "cluster_id = marigoldward\n"
            + "cluster_key = one-system-of-processes\n"
            + "directory = 127.0.0.1:" + listSocket.getLocalPort() + "\n"
            + "lease_ms = 3000\n";
        controls[number] = start("control", "control-" + number, settings);
    }

    void startEntry(int number) throws IOException {
        String settings = "[entry]\n"
            + "id = entry-" + number + "\n"
            + "data_centre = " + ZONE + "\n"
            + "ip = " + entryIp(number) + "\n"
            + "caller_listen = " + entryIp(number) + ":" + callerPort + "\n"
            + "ready_listen = " + entryIp(number) + ":" + readyPort + "\n"
            + "rpc_port = " + rpcPort + "\n"
            + "metrics_port = " + metricsPort + "\n"
            + "seeds = " + seeds() + "\n"
            + "cluster_id = marigoldward\n"
            + "cluster_key = one-system-of-processes\n"
            + "directory = 127.0.0.1:" + listSocket.getLocalPort() + "\n"
            + "grace_s = 8\n"
            + "repeat_ratio = 0.2\n"
            + "repeat_slack = " + retrySlack + "\n"
            + "repeat_window_s = 10\n";
        entries[number] = start("entry", "entry-" + number, settings);
    }

    private Process start(String role, String name, String settings) throws IOException {
        Path file = folder.resolve(name + ".ini");
        Files.writeString(file, settings);
        String deploy = Files.readString(root.toPath().resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) throw new IOException("the deploy file has no role " + role);
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("MARIGOLDWARD_SETTINGS", file.toString());
        return builder.start();
    }

    /** Starts all processes, puts [manifest] in force and waits until all entries are ready. */
    void startAll(String manifest) throws Exception {
        for (int i = 0; i < SEEDS; i++) startControl(i, true);
        for (int i = 0; i < entryCount; i++) startEntry(i);
        awaitTrue("the manifest is acknowledged", 40_000, () -> put(manifest) == 200);
        for (int i = 0; i < entryCount; i++) {
            int number = i;
            awaitTrue("entry " + i + " is ready", 20_000, () -> isReady(number));
        }
    }

    /** Sends a manifest to the control instances in turn, and returns the last status. */
    int put(String manifest) {
        int status = 0;
        for (int i = 0; i < controlCount; i++) {
            try {
                status = Http.call(controlIp(i), operatorPort, "PUT", "/config", manifest, 4_000).status;
                if (status == 200) return status;
            } catch (IOException ignored) {
                // Another instance is asked.
            }
        }
        return status;
    }

    boolean isReady(int number) {
        try {
            return Http.call(entryIp(number), readyPort, "GET", "/readiness", "", 1_000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGKILL. */
    void killControl(int number) throws InterruptedException {
        controls[number].destroyForcibly();
        controls[number].waitFor();
    }

    /** Sends SIGTERM. */
    void terminateEntry(int number) {
        entries[number].destroy();
    }

    /** Deletes the data of a control process that has ended, as the loss of its disk does. */
    void loseDisk(int number) throws IOException {
        deleteAll(folder.resolve("disk-" + number));
    }

    boolean isEntryAlive(int number) {
        return entries[number].isAlive();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void awaitTrue(String what, long timeoutMillis, Condition condition) throws Exception {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() > end) throw new CannotRun(what + ": not within " + timeoutMillis + " ms");
            Thread.sleep(100);
        }
    }

    private void killAll() {
        for (Process[] group : List.of(entries, controls)) {
            for (Process process : group) {
                if (process != null) process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process[] group : List.of(entries, controls)) {
            for (Process process : group) {
                try {
                    if (process != null) process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        listSocket.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        deleteAll(folder);
    }

    private static void deleteAll(Path root) throws IOException {
        if (!Files.exists(root)) return;
        Files.walkFileTree(root, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.delete(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path directory, IOException e) throws IOException {
                Files.delete(directory);
                return FileVisitResult.CONTINUE;
            }
        });
    }

    /** The case could not be run, so that nothing is known about the rule. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }
}
