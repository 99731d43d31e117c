package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.masticweir.engine.Vendor;
import org.masticweir.id.ModelId;

/**
 * A declared set of back ends that are alike; which instances belong to it the instance list tells.
 *
 * @param name the group name that the instance list gives for each of its instances
 * @param vendor whose interface the back ends speak
 * @param checksFencing whether the back ends refuse an order with an old fencing number
 */
public record EngineGroup(String name, Vendor vendor, boolean checksFencing, Set<ModelId> models) {
    public EngineGroup {
        checkNotNull(name, "name");
        checkNotNull(vendor, "vendor");
        models = ImmutableSet.copyOf(models);
        checkArgument(!models.isEmpty(), "group %s serves no model", name);
    }
}
