import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets, for the stand-ins of servers, clients and the platform. */
final class Http {
    private Http() {
    }

    /** The head of a message. Its body is read only on demand. */
    static final class Head {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int length() {
            String text = header("Content-Length");
            return text.isEmpty() ? 0 : Integer.parseInt(text);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    /** A complete answer. */
    static final class Answer {
        int status;
        Head head;
        byte[] body = new byte[0];
    }

    interface Handler {
        /** Handles one request whose head was read; returns whether the channel is kept. */
        boolean handle(Head request, Socket socket) throws Exception;
    }

    /** Serves each connection of [listener] on a thread of its own. */
    static void serve(ServerSocket listener, Handler handler) {
        daemon(() -> {
            while (!listener.isClosed()) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        Head head = readHeadOrNull(socket.getInputStream());
                        while (head != null && handler.handle(head, socket)) {
                            head = readHeadOrNull(socket.getInputStream());
                        }
                    } catch (Exception e) {
                        // The peer has closed the connection.
                    }
                });
            }
        });
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads a head, or returns null if the connection ends before it. */
    static Head readHeadOrNull(InputStream in) throws IOException {
        Head head = new Head();
        String line = readLineOrNull(in);
        if (line == null) return null;
        head.first = line;
        for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return head;
    }

    private static String readLineOrNull(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 && bytes.size() == 0) return null;
            if (b < 0) throw new EOFException("the connection ended inside a line");
            if (b != '\r') bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream in) throws IOException {
        String line = readLineOrNull(in);
        if (line == null) throw new EOFException("the connection ended inside a head");
        return line;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended inside a body");
        return bytes;
    }

    /** Reads a complete answer. A body without a length or chunks ends with the connection. */
    static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        answer.head = readHeadOrNull(in);
        if (answer.head == null) throw new EOFException("closed without an answer");
        answer.status = Integer.parseInt(answer.head.first.split(" ")[1]);
        if (answer.head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                body.write(readFully(in, size));
                readLine(in);
                if (size == 0) break;
            }
            answer.body = body.toByteArray();
        } else if (!answer.head.header("Content-Length").isEmpty()) {
            answer.body = readFully(in, answer.head.length());
        } else {
            answer.body = in.readAllBytes();
        }
        return answer;
    }

    static Answer call(String ip, int port, String method, String path, String body, int timeoutMillis)
        throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write(socket, method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + bytes.length
                + "\r\nConnection: close\r\n\r\n");
            socket.getOutputStream().write(bytes);
            return readAnswer(socket.getInputStream());
        }
    }
}
