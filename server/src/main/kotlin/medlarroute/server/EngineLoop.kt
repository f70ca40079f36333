package medlarroute.server

import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.Input
import medlarroute.core.Job
import org.apache.logging.log4j.LogManager
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Applies the effects of an engine tick. Called on the engine thread; must not block. */
internal fun interface EffectHandler {
    fun handle(effects: List<Effect>)
}

/**
 * Runs an [Engine] on a thread of its own.
 *
 * Inputs that arrive during a tick are processed together in the next one. New jobs are rejected while [inboxCapacity]
 * inputs are queued; replies and membership changes are always accepted, since a dropped reply would leave its task
 * open forever.
 */
internal class EngineLoop(
    private val engine: Engine,
    private val handler: EffectHandler,
    inboxCapacity: Int,
    private val observer: TickObserver = TickObserver { _, _ -> },
) : InputSink {
    /** Called on the engine thread after each tick. */
    fun interface TickObserver {
        fun ticked(duration: Duration, openJobs: Int)
    }

    private val inbox = Inbox<Input>(inboxCapacity)
    private val loop = thread(start = false, isDaemon = true, name = "engine") { run() }

    @Volatile
    private var stopping = false

    /** Number of inputs queued for the next tick. */
    val inboxDepth: Int get() = inbox.size

    /** Whether the engine thread is running; without it no job makes progress. */
    val isAlive: Boolean get() = loop.isAlive

    /** The current time in the time base of [Effect.Start.decidedAt]. */
    fun elapsed(): Duration = engine.elapsed()

    fun start(): Unit = loop.start()

    /** Stops the thread after the current tick and waits for it to end. Inputs that are still queued are discarded. */
    fun stop() {
        stopping = true
        loop.interrupt()
        loop.join()
    }

    override fun offer(input: Input): Unit = inbox.put(input)

    /** Queues a new job; returns false if the inbox is full or the loop is stopping: the engine never receives it. */
    fun submit(job: Job): Boolean = !stopping && inbox.tryPut(Input.Submit(job))

    private fun run() {
        while (!stopping) {
            try {
                tick(inbox.take(engine.nextWake()))
            } catch (_: InterruptedException) {
                // stop() wakes the thread; any other interrupt only causes an early tick.
            } catch (e: Exception) {
                // Jobs of the failed tick are answered at their deadline by the job service.
                log.error("engine: a tick failed", e)
            }
        }
    }

    private fun tick(inputs: List<Input>) {
        val startedAt = TimeSource.Monotonic.markNow()
        val effects = engine.tick(inputs)
        observer.ticked(startedAt.elapsedNow(), engine.openJobs)
        if (effects.isNotEmpty()) handler.handle(effects)
    }

    private companion object {
        val log = LogManager.getLogger(EngineLoop::class.java)
    }
}
