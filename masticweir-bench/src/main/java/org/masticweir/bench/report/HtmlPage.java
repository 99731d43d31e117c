package org.masticweir.bench.report;

import com.google.common.html.HtmlEscapers;
import java.util.Base64;
import java.util.List;

/** Builds an HTML page that needs no other file; not thread-safe. */
final class HtmlPage {
    private final StringBuilder body = new StringBuilder();
    private final String title;

    private HtmlPage(String title) {
        this.title = title;
        line("<h1>" + escape(title) + "</h1>");
    }

    static HtmlPage titled(String title) {
        return new HtmlPage(title);
    }

    HtmlPage heading(String text) {
        return line("<h2>" + escape(text) + "</h2>");
    }

    HtmlPage paragraph(String text) {
        return line("<p>" + escape(text) + "</p>");
    }

    /** Adds a PNG picture. */
    HtmlPage picture(String text, byte[] png) {
        String data = Base64.getEncoder().encodeToString(png);
        return line(
                "<img alt=\"" + escape(text) + "\" src=\"data:image/png;base64," + data + "\">");
    }

    HtmlPage table(List<String> head, List<List<String>> rows) {
        line("<table>");
        row("th", head);
        rows.forEach(r -> row("td", r));
        return line("</table>");
    }

    private void row(String tag, List<String> cells) {
        StringBuilder row = new StringBuilder("<tr>");
        for (String cell : cells) {
            row.append('<').append(tag).append('>').append(escape(cell));
            row.append("</").append(tag).append('>');
        }
        line(row.append("</tr>").toString());
    }

    String text() {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escape(title)
                + "</title><style>body{font-family:sans-serif}td,th{padding:2px 8px;"
                + "text-align:right}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    private HtmlPage line(String html) {
        body.append(html).append('\n');
        return this;
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
