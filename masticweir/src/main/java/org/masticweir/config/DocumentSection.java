package org.masticweir.config;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.masticweir.settings.IniSection;

/** The kinds of section in a deployment document, each with its keys. */
enum DocumentSection {
    CLASS("first_token_ms", "total_ms", "reliability", "recovery") {
        @Override
        void read(String name, IniSection section, DeploymentReader reader) {
            reader.readClass(name, section);
        }
    },
    TEAM("credential_sha256", "share") {
        @Override
        void read(String name, IniSection section, DeploymentReader reader) {
            reader.readTeam(name, section);
        }
    },
    MODEL("kind", "version", "adapter") {
        @Override
        void read(String name, IniSection section, DeploymentReader reader) {
            reader.readModel(name, section);
        }
    },
    ENGINES("vendor", "checks_fencing", "models") {
        @Override
        void read(String name, IniSection section, DeploymentReader reader) {
            reader.readGroup(name, section);
        }
    };

    private final List<String> keys;

    DocumentSection(String... keys) {
        this.keys = ImmutableList.copyOf(keys);
    }

    /** Returns the kind whose prefix {@code sectionName} has, if any. */
    static Optional<DocumentSection> ofName(String sectionName) {
        return Arrays.stream(values()).filter(s -> sectionName.startsWith(s.prefix())).findFirst();
    }

    /** Returns the forms of all section names, for messages. */
    static String forms() {
        return Arrays.stream(values())
                .map(s -> "[" + s.prefix() + "NAME]")
                .collect(Collectors.joining(", "));
    }

    /** Reads a section of this kind into {@code reader}. */
    abstract void read(String name, IniSection section, DeploymentReader reader);

    String prefix() {
        return Ascii.toLowerCase(name()) + ".";
    }

    List<String> keys() {
        return keys;
    }
}
