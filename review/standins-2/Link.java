import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy between one host and the store, with the rate of that host's link. */
final class Link {
    private static final int PIECE_BYTES = 4_096;
    private final double bytesPerMilli;
    private final ServerSocket server;
    private double freeAt = System.nanoTime() / 1e6;

    Link(int targetPort, double megabitsPerSecond) throws Exception {
        bytesPerMilli = megabitsPerSecond * 125;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Runner.daemon(() -> {
            while (true) {
                Socket caller = server.accept();
                Socket target = new Socket("127.0.0.1", targetPort);
                caller.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                Runner.daemon(() -> copy(caller, target));
                Runner.daemon(() -> copy(target, caller));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void copy(Socket from, Socket to) throws Exception {
        byte[] piece = new byte[PIECE_BYTES];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
                pass(n);
                out.write(piece, 0, n);
            }
        }
    }

    /** Waits until the link has sent [bytes] more; all connections share it. */
    private void pass(int bytes) throws InterruptedException {
        double wait;
        synchronized (this) {
            double now = System.nanoTime() / 1e6;
            freeAt = Math.max(freeAt, now) + bytes / bytesPerMilli;
            wait = freeAt - now;
        }
        if (wait >= 1) Thread.sleep((long) wait);
    }
}
