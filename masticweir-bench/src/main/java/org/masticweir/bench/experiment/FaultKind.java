package org.masticweir.bench.experiment;

/** What can be made to fail, and how. */
enum FaultKind {
    /** An engine's process ends at once. */
    KILL(Place.ENGINE, true) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.kill(fault.target());
        }
    },
    /** An engine answers nothing and computes nothing; its connections stay open. */
    PAUSE(Place.ENGINE, true) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.engine(fault.target(), "{\"pause_ms\":" + fault.forMs() + "}");
        }
    },
    /** An engine computes slower by a factor. */
    SLOW(Place.ENGINE, false) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.engine(fault.target(), "{\"slow_factor\":" + fault.factor() + "}");
        }

        @Override
        boolean lift(FaultTargets targets, Fault fault) {
            return targets.engine(fault.target(), "{\"slow_factor\":1}");
        }
    },
    /** An engine refuses new work. */
    REFUSE(Place.ENGINE, false) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.engine(fault.target(), "{\"refuse_ms\":" + fault.forMs() + "}");
        }
    },
    /** A proxy resets a route's connections and refuses new ones. */
    CUT(Place.ROUTE, true) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.route(fault.target(), "cut");
        }

        @Override
        boolean lift(FaultTargets targets, Fault fault) {
            return targets.route(fault.target(), "pass");
        }
    },
    /** A proxy keeps a route's connections open and passes nothing. */
    STALL(Place.ROUTE, true) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.route(fault.target(), "stall");
        }

        @Override
        boolean lift(FaultTargets targets, Fault fault) {
            return targets.route(fault.target(), "pass");
        }
    },
    /** The platform takes connections and closes them. */
    OUTAGE(Place.PLATFORM, false) {
        @Override
        boolean inject(FaultTargets targets, Fault fault) {
            return targets.platform("{\"outage_ms\":" + fault.forMs() + "}");
        }
    };

    /** Where a fault strikes. */
    private enum Place {
        ENGINE,
        ROUTE,
        PLATFORM
    }

    private final Place place;
    private final boolean justifiesMove;

    FaultKind(Place place, boolean justifiesMove) {
        this.place = place;
        this.justifiesMove = justifiesMove;
    }

    /** Starts the fault; false when its target did not take it. */
    abstract boolean inject(FaultTargets targets, Fault fault);

    /** Ends the fault when it does not end by itself. */
    boolean lift(FaultTargets targets, Fault fault) {
        return true;
    }

    /**
     * Tells whether a move off the target while the fault lasts is right.
     *
     * <p>A slow engine and one that only refuses new work are alive, so a move off them is false.
     */
    boolean justifiesMove() {
        return justifiesMove;
    }

    /** Tells whether the target is an engine. */
    boolean strikesEngine() {
        return place == Place.ENGINE;
    }

    /** Tells whether the fault meets all generations, whichever engine they run on. */
    boolean strikesAll() {
        return place == Place.PLATFORM;
    }
}
