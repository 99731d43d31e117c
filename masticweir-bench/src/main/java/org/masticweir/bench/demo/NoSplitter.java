package org.masticweir.bench.demo;

import com.beust.jcommander.converters.IParameterSplitter;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Keeps a parameter that holds commas whole. */
public final class NoSplitter implements IParameterSplitter {
    @Override
    public List<String> split(String value) {
        return ImmutableList.of(value);
    }
}
