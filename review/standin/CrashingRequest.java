import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that begins to run it. The server is back after two seconds, under the id that it had.
 * The same request comes again every few seconds. After the third crash it must not reach servers any more.
 */
final class CrashingRequest extends Case {
    private static final int ENTRIES = 2;
    private static final int SERVERS = 2;
    private static final long DOWN_MILLIS = 2_000;
    private static final long GAP_MILLIS = 5_000;
    private static final int REPEATS = 12;
    private static final long SETTLE_WINDOW_MILLIS = 3_000;
    private static final int ALLOWED_RETRIES = 3;
    private static final int SOUND_CLIENTS = 4;

    private final boolean hasNewIds = "1".equals(System.getenv("NEW_IDS"));
    private final List<Server> servers = new ArrayList<>();
    private final List<Long> crashTimes = new ArrayList<>();
    private final List<Long> arrivalTimes = new ArrayList<>();
    private final AtomicInteger soundAnswered = new AtomicInteger();
    private final AtomicInteger soundFailed = new AtomicInteger();
    private volatile boolean isOver;

    public static void main(String[] arguments) throws IOException {
        new CrashingRequest().start();
    }

    /** A server that may crash and start again at the same address. */
    private final class Server {
        final int number;
        final int port;
        volatile String id;
        private volatile ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private int boots;

        Server(int number) throws IOException {
            this.number = number;
            port = Deployment.freePort();
            id = "i-" + number;
            boot();
        }

        synchronized void boot() throws IOException {
            boots++;
            if (hasNewIds) id = "i-" + number + "-" + boots;
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 100);
            listener = socket;
            Http.serve(socket, this::serve);
        }

        synchronized void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            sockets.clear();
            Http.daemon(() -> {
                try {
                    Thread.sleep(DOWN_MILLIS);
                    boot();
                } catch (Exception e) {
                    record("server " + number + " did not start again: " + e);
                }
            });
        }

        private boolean serve(Http.Head request, Socket socket) throws Exception {
            sockets.add(socket);
            String requestId = request.header("Request-Id");
            String body = new String(
                Http.readFully(socket.getInputStream(), request.length()), StandardCharsets.ISO_8859_1);
            String expected = request.header("Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                Http.write(socket, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId
                    + "\r\nInstance-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            if (body.equals("deadly")) {
                onDeadly(this, requestId);
                if (hasTrouble) {
                    crash();
                    return false;
                }
            }
            Thread.sleep(20);
            Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: s."
                + requestId + "\r\nInstance-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }
    }

    private synchronized void onDeadly(Server server, String requestId) {
        long now = System.nanoTime() / 1_000_000;
        boolean counts = hasTrouble && crashTimes.size() >= 3 && now > crashTimes.get(2) + SETTLE_WINDOW_MILLIS;
        if (counts) arrivalTimes.add(now);
        if (hasTrouble) crashTimes.add(now);
        record("server " + server.id + " begins to run " + requestId + (hasTrouble ? " and crashes" : "")
            + (counts ? "; retry " + arrivalTimes.size() + " after the third crash" : ""));
    }

    @Override
    boolean run() throws Exception {
        for (int i = 0; i < SERVERS; i++) servers.add(new Server(i));
        try (Deployment deployment = new Deployment(3, ENTRIES, 56)) {
            deployment.list = () -> {
                List<String> list = new ArrayList<>();
                for (Server server : servers) {
                    list.add(listed(server.id, "bookings", "127.0.0.1:" + server.port, 6, false)
                        .replace("\"" + Deployment.ZONE + "\"", "\"zone-" + "abc".charAt(server.number) + "\""));
                }
                return list;
            };
            deployment.startAll(manifest(
                7, route("book", "/book/", "non_idempotent", 1_500, 400, "bookings", 1), service("bookings")));
            Thread.sleep(3_000);
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                int number = i;
                Http.daemon(() -> sendSound(deployment, number));
            }
            Thread.sleep(2_000);
            for (int i = 0; i < REPEATS; i++) {
                send(deployment, i % ENTRIES, "deadly-" + i, "deadly");
                Thread.sleep(GAP_MILLIS);
            }
            isOver = true;
        }
        record("sound requests answered " + soundAnswered + ", failed " + soundFailed);
        record("crashes " + crashTimes.size() + ", retries that reached servers later than " + SETTLE_WINDOW_MILLIS
            + " ms after the third crash " + arrivalTimes.size() + ", allowed " + ALLOWED_RETRIES);
        return arrivalTimes.size() <= ALLOWED_RETRIES;
    }

    private void sendSound(Deployment deployment, int client) {
        for (int i = 0; !isOver; i++) {
            int status = send(deployment, client % ENTRIES, "sound-" + client + "-" + i, "sound " + client + " " + i);
            (status == 200 ? soundAnswered : soundFailed).incrementAndGet();
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int send(Deployment deployment, int entry, String id, String body) {
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(entry), deployment.callerPort), 1_000);
            socket.setSoTimeout(2_500);
            Http.write(socket, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 1500\r\nContent-Length: " + body.length() + "\r\nConnection: close\r\n\r\n"
                + body);
            status = Http.readAnswer(socket.getInputStream()).status;
        } catch (IOException e) {
            record("client: " + id + " failed: " + e);
        }
        if (body.equals("deadly")) record("client: " + id + " got status " + status);
        return status;
    }
}
