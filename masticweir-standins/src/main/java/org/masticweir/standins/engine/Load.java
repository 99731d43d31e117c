package org.masticweir.standins.engine;

/** How many sequences an engine runs and how many wait. */
record Load(int running, int waiting) {}
