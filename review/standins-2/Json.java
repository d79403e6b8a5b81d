import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader that keeps the text of each value, so that values are stored as they came. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Returns the members of the object in [text], each with its text. */
    static Map<String, String> members(String text) {
        Json reader = new Json(text);
        Map<String, String> members = new LinkedHashMap<>();
        reader.expect('{');
        if (reader.peek() == '}') return members;
        do {
            String name = unquote(reader.value());
            reader.expect(':');
            members.put(name, reader.value());
        } while (reader.accept(','));
        reader.expect('}');
        return members;
    }

    static String unquote(String quoted) {
        return quoted.substring(1, quoted.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    static String quote(String plain) {
        return '"' + plain.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    static List<String> elements(String text) {
        Json reader = new Json(text);
        List<String> elements = new ArrayList<>();
        reader.expect('[');
        if (reader.peek() == ']') return elements;
        do elements.add(reader.value()); while (reader.accept(','));
        return elements;
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private boolean accept(char wanted) {
        if (peek() != wanted) return false;
        at++;
        return true;
    }

    private void expect(char wanted) {
        if (!accept(wanted)) throw new IllegalArgumentException("no " + wanted + " at " + at);
    }

    /** Returns the text of the value at the present place. */
    private String value() {
        char first = peek();
        int start = at;
        int depth = 0;
        boolean inString = false;
        for (; at < text.length(); at++) {
            char c = text.charAt(at);
            if (inString) {
                if (c == '\\') at++;
                else if (c == '"') {
                    inString = false;
                    if (depth == 0) return text.substring(start, ++at);
                }
            } else if (c == '"') {
                inString = true;
            } else if (c == '{' || c == '[') {
                depth++;
            } else if (c == '}' || c == ']') {
                if (depth == 0) break;
                if (--depth == 0) return text.substring(start, ++at);
            } else if (depth == 0 && (c == ',' || Character.isWhitespace(c))) {
                break;
            }
        }
        if (at == start) throw new IllegalArgumentException("no value at " + at + ": " + first);
        return text.substring(start, at);
    }
}
