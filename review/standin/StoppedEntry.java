import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry gets SIGTERM. It takes some more streams, which last longer than the earlier ones of their route. None that
 * it has passed on to a server may be cut off.
 */
final class StoppedEntry extends Case {
    private static final int GRACE_MILLIS = 8_000;
    /** Later than this after SIGTERM, a request is to be finished or refused, even if its server is slow to end. */
    private static final int EXCUSED_MILLIS = 3_000;
    private static final int LATE_REQUESTS = 4;
    private static final int ROUTE_TIMEOUT_MILLIS = 8_000;
    private static final long EVENT_GAP_MILLIS = 100;

    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final Set<String> arrived = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) throws IOException {
        new StoppedEntry().start();
    }

    @Override
    boolean run() throws Exception {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Http.serve(listener, this::serve);
        try (Deployment deployment = new Deployment(3, 1, 56)) {
            deployment.list = () -> List.of(
                listed("i-1", "assistant", "127.0.0.1:" + listener.getLocalPort(), 64, false));
            deployment.startAll(manifest(
                7,
                route("design", "/design/", "streaming", ROUTE_TIMEOUT_MILLIS, 1_200, "assistant", 1) + ","
                    + route("summary", "/summary/", "streaming", ROUTE_TIMEOUT_MILLIS, 400, "assistant", 1),
                service("assistant")));
            Thread.sleep(3_000);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                stream(deployment, "/summary/10", "summary-" + i, false);
            }
            // The entry accepts connections for as long as it has requests in progress.
            threads.add(Http.daemon(() -> stream(deployment, "/design/55", "design-0", false)));
            Thread.sleep(200);
            long stopNanos = System.nanoTime();
            if (hasTrouble) {
                record("the entry gets SIGTERM");
                deployment.terminateEntry(0);
            }
            Thread.sleep(EXCUSED_MILLIS + 200);
            for (int i = 0; i < LATE_REQUESTS; i++) {
                String id = "late-" + i;
                long afterMillis = (System.nanoTime() - stopNanos) / 1_000_000;
                record("client: sends " + id + ", " + afterMillis + " ms after the stop");
                threads.add(Http.daemon(() -> stream(deployment, "/summary/60", id, true)));
                Thread.sleep(100);
            }
            for (Thread thread : threads) thread.join(2 * GRACE_MILLIS);
        }
        record("of " + LATE_REQUESTS + " late streams, complete " + complete + ", refused as not run " + refused
            + ", passed on to the server and cut off " + cut);
        return cut.get() == 0;
    }

    /** Sends as many events as the last part of the path says. */
    private boolean serve(Http.Head request, Socket socket) throws Exception {
        String id = request.header("Request-Id");
        Http.readFully(socket.getInputStream(), request.length());
        arrived.add(id);
        record("server: runs " + id);
        int events = Integer.parseInt(request.path().substring(request.path().lastIndexOf('/') + 1));
        Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: piece\n\n";
            Thread.sleep(EVENT_GAP_MILLIS);
            Http.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        Http.write(socket, "0\r\n\r\n");
        return true;
    }

    private void stream(Deployment deployment, String path, String id, boolean isLate) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(0), deployment.callerPort), 1_000);
            socket.setSoTimeout(2 * GRACE_MILLIS);
            Http.write(socket, "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + ROUTE_TIMEOUT_MILLIS + "\r\nContent-Length: 0\r\n\r\n");
            Http.Answer answer = Http.readAnswer(socket.getInputStream());
            if (isLate) (answer.status == 200 ? complete : refused).incrementAndGet();
            record("client: " + id + " got status " + answer.status + ", " + answer.body.length + " bytes");
        } catch (IOException e) {
            boolean isCut = arrived.contains(id);
            if (isLate && isCut) cut.incrementAndGet();
            record("client: " + id + " failed: " + e + (isCut ? "; it had reached the server" : ""));
        }
    }
}
