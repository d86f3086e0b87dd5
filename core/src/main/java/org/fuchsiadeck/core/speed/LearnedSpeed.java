package org.fuchsiadeck.core.speed;

/**
 * The learned speed of a server, also rounded to coarse steps on which nodes agree although their sums differ a little.
 *
 * @param speed the speed relative to the usual one of the service
 * @param step the rounded speed, in factors of the square root of 2; 0 is the usual speed
 */
public record LearnedSpeed(double speed, int step) {
    /** The speed of a server without observations. */
    public static final LearnedSpeed USUAL = new LearnedSpeed(1, 0);

    private static final double STEPS_PER_DOUBLING = 2;

    /** Distance from the present step at which it changes, in steps; half a step would change back and forth. */
    private static final double CHANGE_DISTANCE = 0.75;

    LearnedSpeed next(double newSpeed) {
        double exact = STEPS_PER_DOUBLING * StrictMath.log(newSpeed) / StrictMath.log(2);
        return new LearnedSpeed(newSpeed, Math.abs(exact - step) < CHANGE_DISTANCE ? step : (int) Math.round(exact));
    }

    /**
     * Returns the rounded speed, by which servers are chosen and own prompt prefixes.
     *
     * @return the rounded speed; 1 is the usual one
     */
    public double weight() {
        return step == 0 ? 1 : StrictMath.pow(2, step / STEPS_PER_DOUBLING);
    }
}
