package org.masticweir.settings;

/** Prints the reference of all settings for the operators' page; stateless. */
public final class SettingsReference {
    private static final String HEAD =
            "| section | key | default | allowed | what it does |\n|---|---|---|---|---|\n";

    private SettingsReference() {}

    /** Returns a markdown table with one row for each setting. */
    public static String markdown() {
        StringBuilder out = new StringBuilder(HEAD);
        for (Setting<?> row : DaemonSetting.rows()) {
            out.append(
                    String.format(
                            "| `[%s]` | `%s` | %s | %s | %s |\n",
                            row.section(),
                            row.key(),
                            standard(row),
                            row.rule().allowed(),
                            row.doc()));
        }
        return out.toString();
    }

    private static String standard(Setting<?> row) {
        if (row.required()) {
            return "must be given";
        }
        return row.standard().isEmpty() ? "none" : "`" + row.standard() + "`";
    }
}
