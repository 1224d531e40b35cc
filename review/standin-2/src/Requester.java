import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One requester attempt on a channel of its own. */
final class Requester {
    /** What became of an attempt: the status and the body, or status 0 and the failure. */
    record Result(int status, String body, String failure, boolean isSigned, long millis) {
        @Override
        public String toString() {
            return status == 0 ? failure + " after " + millis + " ms" : status + " after " + millis + " ms";
        }
    }

    static Result send(String ip, int port, String head, String body, int deadlineMillis) {
        long start = Fleet.nowMillis();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(deadlineMillis + 3_000);
            byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
            String request = head + "Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + bytes.length + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message answer = Message.readResponse(in);
            String text = new String(answer.body, StandardCharsets.ISO_8859_1);
            return new Result(answer.status(), text, null, answer.field("Response-Signature") != null, Fleet.nowMillis() - start);
        } catch (IOException failure) {
            return new Result(0, "", "" + failure.getMessage(), false, Fleet.nowMillis() - start);
        }
    }
}
