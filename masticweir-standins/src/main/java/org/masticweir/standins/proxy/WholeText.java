package org.masticweir.standins.proxy;

import com.beust.jcommander.converters.IParameterSplitter;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Keeps a flag's text whole, as a route holds a comma itself; stateless. */
final class WholeText implements IParameterSplitter {
    WholeText() {}

    @Override
    public List<String> split(String value) {
        return ImmutableList.of(value);
    }
}
