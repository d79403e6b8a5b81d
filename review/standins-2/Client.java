import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A sound client: each try has its own id and a new connection. */
final class Client {
    record Answer(int status, String body) {}

    static Answer send(String ip, String method, String path, String attempt, int deadlineMillis) {
        return send(ip, method, path, attempt, deadlineMillis, "key-1");
    }

    static Answer send(String ip, String method, String path, String attempt, int deadlineMillis,
        String key) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, Host.CALLERS), 1_000);
            socket.setSoTimeout(deadlineMillis);
            String body = method.equals("POST") ? "{}" : "";
            String request = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
                + "Burdockspread-Attempt-Id: " + attempt + "\r\nBurdockspread-Deadline-Ms: "
                + deadlineMillis + "\r\nBurdockspread-Key: " + key + "\r\n"
                + (body.isEmpty() ? "" : "Content-Length: 2\r\n") + "\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            Map<String, String> head = Runner.head(in);
            if (head == null) return new Answer(0, "closed");
            int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) return new Answer(0, "cut");
            int status = Integer.parseInt(head.get("").split(" ")[1]);
            return new Answer(status, new String(bytes, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }
}
