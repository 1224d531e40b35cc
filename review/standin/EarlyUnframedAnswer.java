import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A server answers before it has read a long body, without a length, and crashes in the middle of the answer. The
 * caller must not get the part of the answer as a complete one.
 */
final class EarlyUnframedAnswer extends Case {
    private static final int REQUESTS = 6;
    private static final int BODY_BYTES = 4_190_000;
    private static final String FIRST_HALF = "f".repeat(400);
    private static final String WHOLE = FIRST_HALF + "s".repeat(400);

    public static void main(String[] arguments) throws IOException {
        new EarlyUnframedAnswer().start();
    }

    @Override
    boolean run() throws Exception {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(16_384);
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 100);
        Http.serve(listener, this::serve);
        String address = "127.0.0.1:" + listener.getLocalPort();
        int broken = 0;
        try (Deployment deployment = new Deployment(3, 2, 56)) {
            deployment.list = () -> List.of(listed("i-1", "bookings", address, 6, false));
            deployment.startAll(manifest(
                7, route("upload", "/upload/", "non_idempotent", 5_000, 1_000, "bookings", 1), service("bookings")));
            Thread.sleep(3_000);
            for (int i = 0; i < REQUESTS; i++) {
                if (!isSound(deployment, i)) broken++;
                // The entry avoids a server for some time after a lost connection.
                Thread.sleep(1_500);
            }
        }
        record(broken + " of " + REQUESTS + " requests got a part of the answer as a complete success");
        return broken == 0;
    }

    private boolean serve(Http.Head request, Socket socket) throws Exception {
        String id = request.header("Request-Id");
        record("server: " + id + " " + request.first + ", body of " + request.length() + " bytes");
        InputStream in = socket.getInputStream();
        Http.readFully(in, 1_000);
        Http.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + FIRST_HALF);
        Thread.sleep(150);
        if (hasTrouble) {
            record("server: " + id + " crashes after " + FIRST_HALF.length() + " of " + WHOLE.length() + " bytes");
            socket.setSoLinger(true, 0);
            return false;
        }
        Http.readFully(in, request.length() - 1_000);
        Http.write(socket, WHOLE.substring(FIRST_HALF.length()));
        record("server: " + id + " has sent all " + WHOLE.length() + " bytes");
        return false;
    }

    private boolean isSound(Deployment deployment, int number) {
        String id = "req-" + number;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(number % 2), deployment.callerPort), 1_000);
            socket.setSoTimeout(8_000);
            record("client: sends " + id);
            Http.write(socket, "POST /upload/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 5000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            socket.getOutputStream().write("b".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            Http.Answer answer = Http.readAnswer(socket.getInputStream());
            boolean isWhole = new String(answer.body, StandardCharsets.ISO_8859_1).equals(WHOLE);
            record("client: " + id + " got status " + answer.status + ", signature \""
                + answer.head.header("Response-Signature") + "\", Content-Length \""
                + answer.head.header("Content-Length") + "\", complete body of " + answer.body.length + " bytes");
            if (!hasTrouble && !(answer.status == 200 && isWhole)) {
                throw new Deployment.CannotRun("the calm request " + id + " was not answered");
            }
            return answer.status != 200 || isWhole;
        } catch (IOException e) {
            record("client: " + id + " failed: " + e);
            if (!hasTrouble) throw new Deployment.CannotRun("the calm request " + id + " failed");
            return true;
        }
    }
}
