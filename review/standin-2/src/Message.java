import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message as it was received: its first line, its fields and its body. */
final class Message {
    final String firstLine;
    final List<String[]> fields = new ArrayList<>();
    byte[] body = new byte[0];

    private Message(String firstLine) {
        this.firstLine = firstLine;
    }

    /** The value of the first field called {@code name}, or null. */
    String field(String name) {
        for (String[] field : fields) if (field[0].equalsIgnoreCase(name)) return field[1];
        return null;
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads a request, or returns null if the connection ends before one begins. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) message.readBody(in, false);
        return message;
    }

    /** Reads a response. Throws an IOException if the connection ends before the response is complete. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) throw new EOFException("closed without an answer");
        message.readBody(in, true);
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("closed within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon > 0) message.fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    private void readBody(InputStream in, boolean mayEndWithConnection) throws IOException {
        String length = field("Content-Length");
        if ("chunked".equalsIgnoreCase(field("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("closed within chunks");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size > 0) all.write(readExactly(in, size));
                if (readLine(in) == null) throw new EOFException("closed within chunks");
                if (size == 0) break;
            }
            body = all.toByteArray();
        } else if (length != null) {
            body = readExactly(in, Integer.parseInt(length));
        } else if (mayEndWithConnection) {
            body = in.readAllBytes();
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("closed within a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : fail();
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static String fail() throws IOException {
        throw new EOFException("closed within a line");
    }
}
