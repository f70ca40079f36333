package medlarroute.server

import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.Input
import medlarroute.core.Job
import org.apache.logging.log4j.LogManager
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Carries out effects. Called by the engine's thread; must not wait. */
internal fun interface EffectHandler {
    fun handle(effects: List<Effect>)
}

/**
 * The one thread that owns an [Engine].
 *
 * Inputs that arrive during a tick are handed to the next one together. New jobs are limited by [inboxCapacity];
 * replies and membership changes are always taken, since a lost reply would leave a task started for ever.
 */
internal class EngineLoop(
    private val engine: Engine,
    private val handler: EffectHandler,
    inboxCapacity: Int,
    private val observer: TickObserver = TickObserver { _, _ -> },
) : InputSink {
    /** Told of each tick, by the engine's thread. */
    fun interface TickObserver {
        fun ticked(duration: Duration, openJobs: Int)
    }

    private val inbox = Inbox<Input>(inboxCapacity)
    private val loop = thread(start = false, isDaemon = true, name = "engine") { run() }

    @Volatile
    private var stopping = false

    /** Inputs that wait for the next tick. */
    val inboxDepth: Int get() = inbox.size

    /** Whether the thread runs; without it nothing is decided. */
    val isAlive: Boolean get() = loop.isAlive

    /** Time base of [Effect.Start.decidedAt]. */
    fun elapsed(): Duration = engine.elapsed()

    fun start(): Unit = loop.start()

    /** Ends the thread after the current tick and waits for it. What is still in the inbox is not handled. */
    fun stop() {
        stopping = true
        loop.interrupt()
        loop.join()
    }

    override fun offer(input: Input): Unit = inbox.put(input)

    /** Takes a new job; false if the inbox is full, so that the engine never sees the job. */
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
        val begun = TimeSource.Monotonic.markNow()
        val effects = engine.tick(inputs)
        observer.ticked(begun.elapsedNow(), engine.openJobs)
        if (effects.isNotEmpty()) handler.handle(effects)
    }

    private companion object {
        val log = LogManager.getLogger(EngineLoop::class.java)
    }
}
