package medlarroute.server

import medlarroute.core.Backoff
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Repeats [attempt] with jitter: about every [interval] while it succeeds, and with exponential backoff while it fails.
 * At most one attempt runs at a time.
 *
 * @param maxWait upper limit of the backoff.
 * @param attempt completes with whether it succeeded.
 */
internal class Poller(
    private val executor: ScheduledExecutorService,
    private val interval: Duration,
    maxWait: Duration,
    private val random: Random,
    private val attempt: () -> CompletableFuture<Boolean>,
) : AutoCloseable {
    private val backoff = Backoff(interval, maxOf(maxWait, interval), random)

    @Volatile
    private var closed = false

    /** Starts polling with an immediate attempt. */
    fun start(): Unit = schedule(Duration.ZERO)

    override fun close() {
        closed = true
    }

    private fun schedule(wait: Duration) {
        if (closed || executor.isShutdown) return
        executor.schedule(::run, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        val result = try {
            attempt()
        } catch (e: RuntimeException) {
            CompletableFuture.failedFuture(e)
        }
        result.whenCompleteAsync({ succeeded, failure -> finished(succeeded, failure) }, executor)
    }

    private fun finished(succeeded: Boolean?, failure: Throwable?) {
        if (failure != null) log.warn("platform: a periodic task failed", failure)
        if (succeeded == true) backoff.reset()
        schedule(if (succeeded == true) Backoff.jittered(interval * JITTER_FACTOR, random) else backoff.next())
    }

    private companion object {
        /** The mean of a jittered wait is three quarters of its bound. */
        const val JITTER_FACTOR = 4.0 / 3
        val log = LogManager.getLogger(Poller::class.java)
    }
}
