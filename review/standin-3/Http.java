import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A minimal HTTP/1.1 client and message reader. */
public final class Http {
    public static final class Message {
        public String startLine;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];
        /** Whether the end of the message was received, as its framing says. */
        public boolean complete;

        public int status() { return Integer.parseInt(startLine.split(" ")[1]); }
    }

    public static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0 && b != '\n') if (b != '\r') out.write(b);
        if (b < 0 && out.size() == 0) return null;
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or returns null at the end of the stream. */
    public static Message head(InputStream in) throws IOException {
        Message m = new Message();
        m.startLine = line(in);
        if (m.startLine == null) return null;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int c = l.indexOf(':');
            if (c > 0) m.headers.put(l.substring(0, c), l.substring(c + 1).trim());
        }
        return m;
    }

    /** Reads a whole request or response; a response with neither a length nor chunks ends with its connection. */
    public static Message read(InputStream in) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        String length = m.headers.get("Content-Length");
        if ("chunked".equalsIgnoreCase(m.headers.getOrDefault("Transfer-Encoding", ""))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String l = line(in);
                if (l == null) { m.body = out.toByteArray(); return m; }
                int size = Integer.parseInt(l.split(";")[0].trim(), 16);
                if (size == 0) break;
                byte[] part = in.readNBytes(size);
                out.write(part);
                if (part.length < size) { m.body = out.toByteArray(); return m; }
                line(in);
            }
            line(in);
            m.body = out.toByteArray();
        } else if (length != null) {
            int size = Integer.parseInt(length);
            m.body = in.readNBytes(size);
            if (m.body.length < size) return m;
        } else if (m.startLine.startsWith("HTTP/") && "close".equalsIgnoreCase(m.headers.getOrDefault("Connection", ""))) {
            m.body = in.readAllBytes();
        }
        m.complete = true;
        return m;
    }

    /** Sends one request on a new connection; throws if there is no answer. */
    public static Message call(String ip, int port, String method, String path, byte[] body, int timeoutMillis) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(ip, port), 1000);
            s.setSoTimeout(timeoutMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
            s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().write(body);
            Message m = read(s.getInputStream());
            if (m == null) throw new EOFException("no answer");
            return m;
        }
    }

    /** Sends an operator's call: goes from control to control, and follows a redirect twice. Returns null without a clear answer. */
    public static Message operator(Deployment d, String method, byte[] body, int first, long maxMillis) throws Exception {
        long end = System.currentTimeMillis() + maxMillis;
        for (int i = first; System.currentTimeMillis() < end; i++) {
            String ip = d.controls.get(i % d.controls.size()).ip;
            try {
                for (int hop = 0; hop < 3; hop++) {
                    Message m = call(ip, d.controlPort, method, "/config", body, 3500);
                    if (m.status() == 307) {
                        ip = URI.create(m.headers.get("Location")).getHost();
                        continue;
                    }
                    if (m.status() < 500) return m;
                    break;
                }
            } catch (IOException e) {
                // The next one.
            }
            Thread.sleep(100);
        }
        return null;
    }
}
