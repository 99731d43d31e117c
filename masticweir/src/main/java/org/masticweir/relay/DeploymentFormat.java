package org.masticweir.relay;

import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.id.EngineId;
import org.masticweir.store.RowKey;

/** Format of a platform's deployment in its store; stateless and thread-safe. */
public interface DeploymentFormat {
    /** Returns the row that holds the catalog. */
    RowKey catalogRow();

    /** Returns the table that holds one row for each backend server, under its id. */
    String serverTable();

    /**
     * Parses the catalog's row.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    Catalog catalog(String text);

    /**
     * Parses a backend server's row.
     *
     * @throws IllegalArgumentException if it does not describe a valid server
     */
    BackendServer server(EngineId id, String text);
}
