import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A sound model runner, a process of its own, whose streams end with their connection. */
final class StreamRunner {
    static final int EVENTS = 130;
    private static final int EVENT_MILLIS = 20;

    /** Runs the runner with the id of the first argument and prints its port, then what it runs. */
    public static void main(String[] args) throws Exception {
        String id = args[0];
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        System.out.println(server.getLocalPort());
        while (true) {
            Socket socket = server.accept();
            Runner.daemon(() -> serve(id, socket));
        }
    }

    private static void serve(String id, Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            Map<String, String> head = Runner.head(in);
            if (head == null) return;
            in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
            String attempt = head.get("burdockspread-attempt-id");
            if (attempt == null) {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
            } else if (!id.equals(head.getOrDefault("burdockspread-expect-instance", id))) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nBurdockspread-Instance-Id: " + id
                    + "\r\nBurdockspread-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n"
                    + "Connection: close\r\n\r\n");
            } else {
                int last = Integer.parseInt(head.getOrDefault("last-event-id", "0"));
                System.out.println(id + " runs " + attempt + " after event " + last);
                write(out, "HTTP/1.1 200 OK\r\nBurdockspread-Attempt-Id: " + attempt
                    + "\r\nBurdockspread-Server-Seal: " + id + "." + attempt + "\r\n"
                    + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
                for (int event = last + 1; event <= EVENTS; event++) {
                    Thread.sleep(EVENT_MILLIS);
                    write(out, "id: " + event + "\ndata: piece " + event + " of " + EVENTS + "\n\n");
                }
                System.out.println(id + " ends " + attempt);
            }
        }
    }

    private static void write(OutputStream out, String text) throws Exception {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
