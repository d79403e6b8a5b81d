import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports that are free at all loopback addresses. */
final class Ports {
    private Ports() {}

    static int free() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException("no free port", e);
        }
    }
}
