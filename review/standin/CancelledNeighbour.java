import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that a full engine has rejected waits in the entry, and its caller leaves. Another request has got the
 * connection to that engine meanwhile. Its answer must reach its caller.
 */
final class CancelledNeighbour extends Case {
    private static final int ROUNDS = 5;
    private static final long ROUND_GAP_MILLIS = 950;
    /** Pairs of a caller that leaves and one that stays, in each round. */
    private static final int PAIRS = 1;
    private static final int EARLIER_REQUESTS = 2;
    private static final int ROUTE_TIMEOUT_MILLIS = 3_000;
    private static final int TARGET_MILLIS = 1_200;
    /** The callers that leave do so within half of the objective. */
    private static final int LEAVES_AFTER_MILLIS = 250;
    private static final int EVENTS = 25;
    private static final long EVENT_GAP_MILLIS = 60;
    private static final long LONG_PREFILL_MILLIS = 450;
    /** Channels that a machine may close without an answer to a request that it has passed on. */
    private static final int ALLOWED = 3;
    private static final int SHARED_TOKENS = 60_000;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger leavers = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final Set<String> dropped = new HashSet<>();

    public static void main(String[] arguments) throws IOException {
        new CancelledNeighbour().start();
    }

    @Override
    boolean run() throws Exception {
        List<String> list = new ArrayList<>();
        for (String id : List.of("p-1", "d-1", "d-2")) {
            ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            Http.serve(listener, (request, socket) -> serve(id, request, socket));
            String entry = listed(id, "assistant", "127.0.0.1:" + listener.getLocalPort(), 64, true);
            list.add(id.startsWith("p") ? entry.replace("\"decode\"", "\"prefill\"") : entry);
        }
        try (Deployment deployment = new Deployment(3, 1, 56)) {
            deployment.list = () -> list;
            deployment.startAll(manifest(7, streamRoute(), engineService()));
            Thread.sleep(3_000);
            stream(deployment, null, "w-first", "5a5a:" + SHARED_TOKENS + ",aa01:300", 300, 0);
            List<Thread> rounds = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                int round = i;
                rounds.add(Http.daemon(() -> round(deployment, round)));
                Thread.sleep(ROUND_GAP_MILLIS);
            }
            for (Thread round : rounds) round.join();
        }
        record("requests " + requests + ", callers that left " + leavers + ", complete answers " + complete
            + ", kept channels closed without a complete answer " + lost);
        if (!hasTrouble && complete.get() != requests.get()) record("some calm requests were not answered");
        return lost.get() <= ALLOWED;
    }

    private static String streamRoute() {
        return route("chat", "/chat/", "streaming", ROUTE_TIMEOUT_MILLIS, TARGET_MILLIS, "assistant", 1)
            .replace("\"sticky\":false", "\"sticky\":true")
            .replace("\"target_gap_ms\":200", "\"target_gap_ms\":400");
    }

    private static String engineService() {
        return service("assistant").replace("\"tls\":false", "\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kv_capacity\":532232,\"token_kv_bytes\":163840,\"link_mbps\":1600000.0,\"moves\":true,"
            + "\"backups\":true,\"stride\":11,\"most\":12,\"handle_ttl_s\":5.0,\"reconfig_s\":3.0,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}");
    }

    /** Two long prompts, requests that are rejected once and whose callers leave, and others behind them. */
    private void round(Deployment deployment, int round) {
        List<Thread> earlier = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        Socket[] kept = new Socket[PAIRS];
        try {
            for (int i = 0; i < PAIRS; i++) {
                int pair = i;
                kept[i] = connect(deployment);
                earlier.add(Http.daemon(() -> {
                    for (int j = 0; j < EARLIER_REQUESTS; j++) {
                        String id = "w-" + round + "-" + pair + "-" + j;
                        stream(deployment, kept[pair], id, shared("ab" + round + pair + j, 300), 300, 0);
                    }
                }));
            }
            for (Thread thread : earlier) thread.join();
            for (int i = 0; i < 2; i++) {
                String parts = "c" + round + "c" + i + ":" + SHARED_TOKENS + ",cc01:4100";
                String id = "c-" + round + "-" + i;
                threads.add(Http.daemon(() -> stream(deployment, null, id, parts, 4_100, 0)));
            }
            Thread.sleep(60);
            for (int i = 0; i < PAIRS; i++) {
                String id = "a-" + round + "-" + i;
                String parts = shared("ac" + round + i, 4_500);
                threads.add(Http.daemon(
                    () -> stream(deployment, null, id, parts, 4_500, hasTrouble ? LEAVES_AFTER_MILLIS : 0)));
            }
            Thread.sleep(80);
            for (int i = 0; i < PAIRS; i++) {
                int pair = i;
                String id = "b-" + round + "-" + i;
                String parts = shared("ad" + round + i, 300);
                threads.add(Http.daemon(() -> stream(deployment, kept[pair], id, parts, 300, 0)));
            }
            for (Thread thread : threads) thread.join();
            for (Socket socket : kept) socket.close();
        } catch (IOException | InterruptedException e) {
            record("round " + round + ": " + e);
        }
    }

    private static String shared(String lastPart, int tokens) {
        return "5a5a:" + SHARED_TOKENS + "," + lastPart + ":" + tokens;
    }

    private Socket connect(Deployment deployment) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(deployment.entryIp(0), deployment.callerPort), 1_000);
        return socket;
    }

    /** Sends a request on [kept], or on a new connection, and leaves after [leaveMillis] unless that is 0. */
    private void stream(
        Deployment deployment, Socket kept, String id, String parts, int ownTokens, int leaveMillis) {
        requests.incrementAndGet();
        Socket socket = kept;
        try {
            if (socket == null) socket = connect(deployment);
            socket.setSoTimeout(leaveMillis > 0 ? leaveMillis : 8_000);
            Http.write(socket, "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nModel: m\r\nToken-Count: " + (SHARED_TOKENS + ownTokens) + ",25\r\nPrompt-Prefix: " + parts
                + "\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n");
            Http.Answer answer = Http.readAnswer(socket.getInputStream());
            if (answer.status == 200) complete.incrementAndGet();
            if (answer.status != 200 || id.startsWith("b-")) {
                record("client: " + id + " got status " + answer.status + ", " + answer.body.length + " bytes");
            }
        } catch (java.net.SocketTimeoutException e) {
            leavers.incrementAndGet();
            record("client: " + id + " leaves after " + leaveMillis + " ms");
            close(socket);
        } catch (IOException e) {
            if (kept != null) lost.incrementAndGet();
            boolean isDropped;
            synchronized (dropped) {
                isDropped = dropped.contains(id);
            }
            record("client: " + id + " failed: " + e + (isDropped ? "; the entry had closed its connection to the "
                + "engine in the middle of the answer" : ""));
        }
        if (kept == null) close(socket);
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    private boolean serve(String engine, Http.Head request, Socket socket) throws Exception {
        String id = request.header("Request-Id");
        InputStream in = socket.getInputStream();
        Http.readFully(in, request.length());
        String path = request.path();
        if (path.equals("/report")) {
            return json(socket, "200 OK", "{\"stage\":\"" + (engine.startsWith("p") ? "prefill" : "decode")
                + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,"
                + "\"waiting\":0,\"running\":0,\"kv_used\":1000,\"kv_total\":532232,\"handles\":0}");
        }
        if (path.startsWith("/kv-handle/") || path.equals("/order")) return json(socket, "200 OK", "{}");
        record(engine + ": " + id + (request.header("Stage").isEmpty() ? "" : " prefill")
            + (request.header("Kv-Source").isEmpty() ? "" : " with a cache handle"));
        if (request.header("Stage").equals("prefill")) {
            Thread.sleep(id.startsWith("c-") ? LONG_PREFILL_MILLIS : 100);
            return json(socket, "200 OK", "{\"handle\":\"" + id + "\",\"tokens\":1000,\"version\":1}", id);
        }
        if (id.startsWith("a-") && request.header("Kv-Source").isEmpty()) {
            record(engine + ": " + id + " rejected, the engine is full");
            Http.write(socket, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
                + "\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int events = id.startsWith("b-") ? EVENTS : 3;
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: piece\n\n";
            Thread.sleep(EVENT_GAP_MILLIS);
            try {
                // A closed connection shows at the next read.
                socket.setSoTimeout(1);
                if (in.read() < 0) throw new IOException("closed");
            } catch (java.net.SocketTimeoutException e) {
                socket.setSoTimeout(0);
            } catch (IOException e) {
                synchronized (dropped) {
                    dropped.add(id);
                }
                record(engine + ": " + id + ": the entry closes the connection after " + (i - 1) + " of " + events
                    + " events");
                return false;
            }
            Http.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        Http.write(socket, "0\r\n\r\n");
        return true;
    }

    private static boolean json(Socket socket, String status, String body, String... id) throws IOException {
        Http.write(socket, "HTTP/1.1 " + status + "\r\n" + (id.length > 0 ? "Request-Id: " + id[0] + "\r\n" : "")
            + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }
}
