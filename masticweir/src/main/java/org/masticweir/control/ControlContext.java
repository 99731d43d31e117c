package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.Executor;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.store.TableService;
import org.masticweir.store.WeightStore;
import org.masticweir.time.Clock;

/**
 * What the parts of a domain's control share.
 *
 * @param control the control thread
 */
record ControlContext(
        RouterId self,
        DomainId domain,
        TableService table,
        WeightStore weights,
        EngineCalls engines,
        Executor control,
        Clock clock,
        ControlSettings settings) {
    ControlContext {
        checkNotNull(self, "self");
        checkNotNull(domain, "domain");
        checkNotNull(table, "table");
        checkNotNull(weights, "weights");
        checkNotNull(engines, "engines");
        checkNotNull(control, "control");
        checkNotNull(clock, "clock");
        checkNotNull(settings, "settings");
    }

    long nowMs() {
        return clock.nowMs();
    }

    long tableTimeoutMs() {
        return settings.tableTimeoutMs();
    }
}
