import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** The provider's list of instances, on one page. */
final class InstanceList implements AutoCloseable {
    /** Entries of other writers, as they stand in the list, before the sound ones. */
    final List<String> otherEntries = new CopyOnWriteArrayList<>();
    final AtomicLong reads = new AtomicLong();
    final InetSocketAddress address;
    private final ServerSocket server;
    private final Supplier<List<String>> entries;

    InstanceList(String ip, Supplier<List<String>> entries) throws IOException {
        this.entries = entries;
        server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        address = (InetSocketAddress) server.getLocalSocketAddress();
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    /** Returns an entry of the list. */
    static String entry(String id, String service, String address, String zone, int slots, String state, String stage) {
        String role = stage == null ? "" : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0," + role
            + "\"id\":\"" + id + "\"}";
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            while (Message.readRequest(socket.getInputStream()) != null) {
                reads.incrementAndGet();
                List<String> all = new java.util.ArrayList<>(otherEntries);
                all.addAll(entries.get());
                byte[] body = ("{\"instances\":[" + String.join(",", all) + "],\"next\":null}").getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a thread that doesn't keep the process alive; the task ends with its first failure. */
    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // A connection or server was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
