package org.masticweir.relay;

import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.id.EngineId;
import org.masticweir.store.RowKey;

/** How one platform writes a deployment into its store; stateless and thread-safe. */
public interface DeploymentFormat {
    /** Returns the row that holds the catalog. */
    RowKey catalogRow();

    /** Returns the table that holds one row for each backend server, under its id. */
    String serverTable();

    /**
     * Reads the catalog's row.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    Catalog catalog(String text);

    /**
     * Reads a backend server's row.
     *
     * @throws IllegalArgumentException if it names no server to use
     */
    BackendServer server(EngineId id, String text);
}
