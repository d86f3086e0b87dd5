package org.fuchsiadeck.cli.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;

/**
 * Measures the processor time and the allocation of the calling thread, and the heap that a value holds. Time that the
 * collector and the compiler spend on their own threads is not counted.
 */
final class Meter {
    private static final ThreadMXBean THREAD = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int MAX_WARMUPS = 40;
    private static final long WARMUP_NS = 800_000_000;
    private static final int REPETITIONS = 3;
    private static final long REPETITION_NS = 120_000_000;
    private static final int COLLECTIONS = 3;
    private static final double NS_PER_US = 1e3;
    private static volatile Object held;

    private Meter() {}

    /** Does the same work again; the number counts from 0. */
    @FunctionalInterface
    interface Work {
        void run(int number);
    }

    /**
     * Measures work.
     *
     * @param item what is measured
     * @param per what the size counts
     * @param size the size
     * @param most how often the work may be done on one subject
     * @param subject makes a fresh subject
     * @return processor time in microseconds and allocation in bytes, each for doing the work once
     */
    static List<Point> cost(String item, String per, int size, int most, Supplier<Work> subject) {
        warmUp(most, subject);
        int count = calibrate(most, subject);
        double[] us = new double[REPETITIONS];
        double[] bytes = new double[REPETITIONS];
        for (int i = 0; i < REPETITIONS; i++) {
            Work work = subject.get();
            long allocated = THREAD.getCurrentThreadAllocatedBytes();
            long begun = THREAD.getCurrentThreadCpuTime();
            repeat(work, count);
            long ended = THREAD.getCurrentThreadCpuTime();
            long after = THREAD.getCurrentThreadAllocatedBytes();
            us[i] = (ended - begun) / NS_PER_US / count;
            bytes[i] = (double) (after - allocated) / count;
        }
        return List.of(point(item, per, size, "us", us), point(item, per, size, "allocated_bytes", bytes));
    }

    /** Does the work until the compiler has seen enough of it. */
    private static void warmUp(int most, Supplier<Work> subject) {
        long end = THREAD.getCurrentThreadCpuTime() + WARMUP_NS;
        for (int i = 0; i < MAX_WARMUPS && THREAD.getCurrentThreadCpuTime() < end; i++) {
            Work work = subject.get();
            for (int n = 0; n < most && THREAD.getCurrentThreadCpuTime() < end; n++) {
                work.run(n);
            }
        }
    }

    private static int calibrate(int most, Supplier<Work> subject) {
        for (int count = 1; count < most; count *= 2) {
            Work work = subject.get();
            long begun = THREAD.getCurrentThreadCpuTime();
            repeat(work, count);
            if (THREAD.getCurrentThreadCpuTime() - begun >= REPETITION_NS) {
                return count;
            }
        }
        return most;
    }

    private static void repeat(Work work, int count) {
        for (int i = 0; i < count; i++) {
            work.run(i);
        }
    }

    /**
     * Measures the heap that a value holds, as the difference after collections.
     *
     * @param item what is measured
     * @param per what the size counts
     * @param size the size
     * @param value makes the value of a size
     * @return the bytes
     */
    static Point heap(String item, String per, int size, IntFunction<Object> value) {
        double[] bytes = new double[REPETITIONS];
        for (int i = -1; i < REPETITIONS; i++) {
            held = null;
            long before = used();
            held = value.apply(size);
            long after = used();
            if (i >= 0) {
                bytes[i] = after - before;
            }
        }
        held = null;
        return point(item, per, size, "heap_bytes", bytes);
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static Point point(String item, String per, int size, String unit, double[] values) {
        Arrays.sort(values);
        return new Point(item, per, size, unit, values[values.length / 2], values[0], values[values.length - 1]);
    }
}
