import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server sends a body without end in answer to a stream. Requests to a sound server, on kept channels of the same
 * entry, must not lose their channels.
 */
final class EndlessStream extends Case {
    private static final int CLIENTS = 20;
    private static final int GAP_MILLIS = 100;
    private static final int STREAMS = 6;
    private static final long STREAM_GAP_MILLIS = 800;
    private static final long RUN_MILLIS = 25_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int CALLER_LIMIT_MILLIS = 8_000;
    /** From this number of unanswered requests on, the rule is broken. */
    private static final int MIN_UNANSWERED = 8;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean isOver;

    public static void main(String[] arguments) throws IOException {
        new EndlessStream().start();
    }

    @Override
    boolean run() throws Exception {
        ServerSocket sound = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Http.serve(sound, this::serveSoundly);
        ServerSocket broken = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Http.serve(broken, this::serveStream);
        try (Deployment deployment = new Deployment(3, 1, 56)) {
            deployment.list = () -> List.of(
                listed("i-1", "bookings", "127.0.0.1:" + sound.getLocalPort(), 64, false),
                listed("i-2", "assistant", "127.0.0.1:" + broken.getLocalPort(), 64, false));
            deployment.startAll(manifest(
                7,
                route("book", "/book/", "non_idempotent", ROUTE_TIMEOUT_MILLIS, 200, "bookings", 1) + ","
                    + route("stream", "/stream/", "streaming", 6_000, 500, "assistant", 1),
                service("bookings") + "," + service("assistant")));
            Thread.sleep(3_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(Http.daemon(() -> book(deployment, number)));
            }
            Thread.sleep(3_000);
            for (int i = 0; i < STREAMS; i++) {
                streamOnce(deployment, "stream-" + i);
                Thread.sleep(STREAM_GAP_MILLIS);
            }
            Thread.sleep(RUN_MILLIS - 10_000);
            isOver = true;
            for (Thread client : clients) client.join(8_000);
            record("entry " + (deployment.isEntryAlive(0) ? "runs" : "has ended"));
        }
        record("requests to the sound server: sent " + sent + ", successes " + answered + ", other answers " + refused
            + ", failed " + failed);
        record("of those on kept channels, " + overdue + " were unanswered at the timeout of their route, "
            + ROUTE_TIMEOUT_MILLIS + " ms, and " + unanswered + " of them had no answer " + SLACK_MILLIS
            + " ms later");
        return unanswered.get() < MIN_UNANSWERED || unanswered.get() * 2 <= overdue.get();
    }

    private boolean serveSoundly(Http.Head request, Socket socket) throws Exception {
        String id = request.header("Request-Id");
        Http.readFully(socket.getInputStream(), request.length());
        Thread.sleep(20);
        Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Length: 800\r\n\r\n" + "x".repeat(800));
        return true;
    }

    private boolean serveStream(Http.Head request, Socket socket) throws Exception {
        String id = request.header("Request-Id");
        record("broken server: " + id);
        Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Type: text/event-stream\r\n\r\n");
        if (hasTrouble) {
            byte[] bytes = "\n".repeat(65_536).getBytes(StandardCharsets.ISO_8859_1);
            long total = 0;
            try {
                while (true) {
                    socket.getOutputStream().write(bytes);
                    total += bytes.length;
                }
            } finally {
                record("broken server: closed after " + total + " bytes");
            }
        }
        for (int i = 1; i < 30; i++) {
            Http.write(socket, "id: " + i + "\ndata: piece\n\n");
            Thread.sleep(100);
        }
        return false;
    }

    private void streamOnce(Deployment deployment, String id) {
        Http.daemon(() -> {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(deployment.entryIp(0), deployment.callerPort), 1_000);
                socket.setSoTimeout(8_000);
                Http.write(socket, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\n"
                    + "Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n");
                record("stream client: sent " + id);
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[65_536];
                long total = 0;
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    total += n;
                }
                record("stream client: " + id + " ended after " + total + " bytes");
            } catch (Exception e) {
                record("stream client: " + id + ": " + e);
            }
        });
    }

    private void book(Deployment deployment, int client) {
        Socket socket = null;
        boolean isKept = false;
        for (int i = 0; !isOver; i++) {
            String id = "book-" + client + "-" + i;
            long startNanos = System.nanoTime();
            boolean wasKept = isKept;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(deployment.entryIp(0), deployment.callerPort), 1_000);
                    socket.setSoTimeout(CALLER_LIMIT_MILLIS);
                }
                sent.incrementAndGet();
                Http.write(socket, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: " + CALLER_LIMIT_MILLIS + "\r\nContent-Length: 4\r\n\r\nbook");
                Http.Answer answer = Http.readAnswer(socket.getInputStream());
                (answer.status == 200 ? answered : refused).incrementAndGet();
                if (answer.status != 200) record("client: " + id + " got status " + answer.status);
                isKept = !"close".equals(answer.head.header("Connection"));
            } catch (IOException e) {
                failed.incrementAndGet();
                record("client: " + id + " failed: " + e);
                isKept = false;
            }
            countIfOverdue(id, wasKept, (System.nanoTime() - startNanos) / 1_000_000);
            try {
                if (!isKept && socket != null) {
                    socket.close();
                    socket = null;
                }
                Thread.sleep(GAP_MILLIS);
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private void countIfOverdue(String id, boolean wasKept, long tookMillis) {
        if (!wasKept || tookMillis <= ROUTE_TIMEOUT_MILLIS) return;
        overdue.incrementAndGet();
        if (tookMillis > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) unanswered.incrementAndGet();
        record("client: " + id + " on a kept channel ended after " + tookMillis + " ms");
    }
}
