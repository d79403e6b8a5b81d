import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Callers that book and then wait for a stream on the same connection, and the runners for that. */
final class Callers {
    private Callers() {
    }

    /** Starts four runners of the order desk and six of the model; the first event takes 3.5 s. */
    static void runners(Lab.Store store, Set<String> reached) throws IOException {
        for (int i = 0; i < 4; i++) {
            Lab.Runner runner = new Lab.Runner("i-0" + i, "desk", 6, (self, socket, in, request) -> {
                Lab.body(request, in, false);
                Lab.sleep(40);
                self.answer(socket, request, "booked".getBytes());
            });
            store.put("servers", runner.id, runner.entry("ready", 1));
        }
        for (int i = 0; i < 6; i++) {
            Lab.Runner runner = new Lab.Runner("i-1" + i, "llm", 12, (self, socket, in, request) -> {
                Lab.body(request, in, false);
                reached.add(request.header("Burdockspread-Attempt-Id"));
                // Prompts are read: the first event comes within the objective of 4.5 s.
                Lab.sleep(3500);
                Lab.write(socket, self.head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
                for (int event = 1; event <= 20; event++) {
                    String text = "id: " + event + "\ndata: seven tokens\n\n";
                    Lab.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", new byte[0]);
                    Lab.sleep(40);
                }
                Lab.write(socket, "0\r\n\r\n", new byte[0]);
            });
            store.put("servers", runner.id, runner.entry("ready", 1));
        }
    }

    /** Books, and asks for a stream on the same connection. */
    static void call(Lab.Host host, int number, AtomicInteger answered, List<String> unanswered, Set<String> reached) {
        String id = "s" + number;
        try (Socket socket = host.connect()) {
            socket.setSoTimeout(20_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Lab.Message booked = Lab.call(socket, in, booking("b" + number, 6), "6 axes".getBytes());
            if (booked == null || booked.status() != 200) throw new IllegalStateException("a booking failed");
            answered.incrementAndGet();
            Lab.Message answer = Lab.call(socket, in, stream(id, number), "prompt".getBytes());
            if (answer == null) throw new EOFException("closed");
            answered.incrementAndGet();
            if (answer.status() != 200 || !answer.complete) Lab.record("stream %s: %s, complete: %s", id, answer.start, answer.complete);
        } catch (IOException e) {
            Lab.record("the connection of stream %s at host %s ended without an answer: %s", id, host.name, e.getMessage());
            if (reached.contains(id)) unanswered.add(id);
        }
    }

    /** Returns the head of a booking with a body of that length. */
    static String booking(String id, int length) {
        return "POST /order/2f HTTP/1.1\r\nHost: desk.example\r\nBurdockspread-Attempt-Id: " + id
            + "\r\nBurdockspread-Deadline-Ms: 2500\r\nBurdockspread-Key: key-1\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Returns the head of a request for a stream with a body of six bytes. */
    static String stream(String id, int number) {
        return "POST /brief/2f HTTP/1.1\r\nHost: desk.example\r\nBurdockspread-Attempt-Id: " + id
            + "\r\nBurdockspread-Model: m\r\nBurdockspread-Token-Count: 5000,900\r\nBurdockspread-Prompt-Prefix: 5c1e07a2:200,"
            + Integer.toHexString(0x4000000 + number) + ":4800\r\nBurdockspread-Deadline-Ms: 25000\r\nBurdockspread-Key: key-1\r\n"
            + "Content-Length: 6\r\n\r\n";
    }
}
