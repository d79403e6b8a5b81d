import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound store of objects as PROTOCOL.md describes it, in memory, with one revision counter. */
final class Store {
    static final int PAGE_BYTES = 1_048_576;
    static final int PAGE_ENTRIES = 500;
    static final int VALUE_BYTES = 1_048_576;
    private static final long HISTORY_MILLIS = 20_000;
    private static final String PATH = "/burdockspread/objects/";

    private record Stored(String name, long revision, long created, String spec, String status) {
        String json() {
            return "{\"metadata\":{\"name\":" + Json.quote(name) + ",\"revision\":" + revision
                + ",\"created\":" + created + ",\"finalizers\":[],\"deletion_pending\":false},\"spec\":"
                + spec + ",\"status\":" + status + "}";
        }
    }

    private record Event(long revision, long at, String kind, boolean deleted, Stored object) {}

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private long forgotten = 0;
    private final HttpServer server;

    Store(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 1_024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext(PATH, this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Creates or replaces an object, as the operator, a runner or another writer does. */
    synchronized void write(String kind, String name, String spec) {
        if (spec.length() > VALUE_BYTES) throw new IllegalArgumentException("value_bytes exceeded");
        Stored before = kind(kind).get(name);
        if (before != null && before.spec.equals(spec)) return;
        store(kind, name, spec, before == null ? "null" : before.status, before);
    }

    synchronized void remove(String kind, String name) {
        Stored before = kind(kind).remove(name);
        if (before == null) return;
        record(kind, new Stored(name, ++revision, before.created, before.spec, before.status), true);
    }

    private TreeMap<String, Stored> kind(String kind) {
        return kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private Stored store(String kind, String name, String spec, String status, Stored before) {
        long next = ++revision;
        Stored stored = new Stored(name, next, before == null ? next : before.created, spec, status);
        kind(kind).put(name, stored);
        record(kind, stored, false);
        return stored;
    }

    private void record(String kind, Stored object, boolean deleted) {
        long now = System.currentTimeMillis();
        events.add(new Event(object.revision, now, kind, deleted, object));
        while (events.get(0).at < now - HISTORY_MILLIS) forgotten = events.remove(0).revision;
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getPath().substring(PATH.length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            reply(exchange, respond(exchange.getRequestMethod(), path, query, body));
        } catch (InterruptedException | RuntimeException e) {
            reply(exchange, new Reply(400, "{}"));
        } finally {
            exchange.close();
        }
    }

    private record Reply(int status, String body) {}

    private static void reply(HttpExchange exchange, Reply reply) throws IOException {
        byte[] bytes = reply.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private Reply respond(String method, String[] path, Map<String, String> query, String body)
        throws InterruptedException {
        if (method.equals("GET") && path.length == 1) {
            return query.containsKey("watch") ? watch(path[0], query) : list(path[0], query);
        }
        return switch (method) {
            case "GET" -> get(path[0], path[1]);
            case "POST" -> post(path[0], body);
            case "PUT" -> put(path[0], path[1], path.length > 2, body);
            case "DELETE" -> delete(path[0], path[1], query.get("revision"));
            default -> new Reply(400, "{}");
        };
    }

    private synchronized Reply list(String kind, Map<String, String> query) {
        StringBuilder entries = new StringBuilder();
        boolean hasMore = false;
        int count = 0;
        String after = query.getOrDefault("since_revision", "");
        for (Stored object : kind(kind).tailMap(after, false).values()) {
            String json = object.json();
            if (count > 0 && (count == PAGE_ENTRIES || entries.length() + json.length() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            entries.append(count++ == 0 ? "" : ",").append(json);
        }
        return new Reply(200, "{\"entries\":[" + entries + "],\"has_more\":" + hasMore + ",\"at\":"
            + revision + "}");
    }

    private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            if (from < forgotten) return new Reply(410, "{}");
            StringBuilder found = new StringBuilder();
            for (Event event : events) {
                if (event.revision <= from || !event.kind.equals(kind)) continue;
                found.append(found.length() == 0 ? "" : ",").append("{\"deleted\":").append(event.deleted)
                    .append(",\"object\":").append(event.object.json()).append("}");
            }
            long left = end - System.currentTimeMillis();
            if (found.length() > 0 || left <= 0) {
                return new Reply(200, "{\"events\":[" + found + "],\"at\":" + revision + "}");
            }
            wait(left);
        }
    }

    private synchronized Reply get(String kind, String name) {
        Stored stored = kind(kind).get(name);
        return stored == null ? new Reply(404, "{}") : new Reply(200, stored.json());
    }

    private synchronized Reply post(String kind, String body) {
        Map<String, String> object = Json.members(body);
        String name = Json.unquote(Json.members(object.get("metadata")).get("name"));
        Stored before = kind(kind).get(name);
        if (before != null) return new Reply(409, before.json());
        String status = object.getOrDefault("status", "null");
        return new Reply(200, store(kind, name, object.getOrDefault("spec", "null"), status, null).json());
    }

    private synchronized Reply put(String kind, String name, boolean isStatus, String body) {
        Map<String, String> object = Json.members(body);
        Stored before = kind(kind).get(name);
        if (before == null) return new Reply(404, "{}");
        String wanted = Json.members(object.getOrDefault("metadata", "{}")).get("revision");
        if (wanted != null && Long.parseLong(wanted) != before.revision) return new Reply(409, before.json());
        String spec = isStatus ? before.spec : object.getOrDefault("spec", "null");
        String status = isStatus ? object.getOrDefault("status", "null") : before.status;
        if (spec.equals(before.spec) && status.equals(before.status)) return new Reply(200, before.json());
        return new Reply(200, store(kind, name, spec, status, before).json());
    }

    private synchronized Reply delete(String kind, String name, String wanted) {
        Stored before = kind(kind).get(name);
        if (before == null) return new Reply(404, "{}");
        if (wanted != null && Long.parseLong(wanted) != before.revision) return new Reply(409, before.json());
        remove(kind, name);
        return new Reply(200, before.json());
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text == null) return query;
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }
}
