package medlarroute.dispatch

import kotlin.random.Random

/**
 * Connections between processes, on the virtual clock of [sim]. Each direction of a link may be cut by itself. What is
 * sent on a connection during a cut arrives after it, in order, unless one side has reset the connection before.
 *
 * @param goSilent whether connections may go silent, see [silence]. Processes then time their dials as [PeerNetwork]
 *   does. In the other scenarios they dial less often, on which the known seeds depend.
 */
internal class SimulatedLinks(
    private val sim: SimulatedBackends,
    private val random: Random,
    val goSilent: Boolean = false,
) {
    private val processes = HashMap<String, SimulatedProcess>()
    private val machinesWithoutPower = HashSet<String>()
    private val cutUntilMs = HashMap<Pair<String, String>, Long>()
    private val slowUntilMs = HashMap<Pair<String, String>, Long>()

    fun add(process: SimulatedProcess) {
        processes[process.name] = process
        machinesWithoutPower -= process.name
    }

    /** Ends [process]. Its peers see its connections close, unless its machine loses power. */
    fun remove(process: SimulatedProcess, losesPower: Boolean) {
        processes.remove(process.name, process)
        if (losesPower) machinesWithoutPower += process.name
        process.connections().forEach { if (losesPower) it.discard() else it.close(process) }
    }

    /** Cuts the link from machine [from] to machine [to], in this direction. */
    fun cut(from: String, to: String, forMs: Long) {
        cutUntilMs.merge(from to to, sim.nowMs + forMs, ::maxOf)
    }

    /** Delays messages in this direction by up to [SLOW_MS]. */
    fun slow(from: String, to: String, forMs: Long) {
        slowUntilMs.merge(from to to, sim.nowMs + forMs, ::maxOf)
    }

    private fun isCut(from: String, to: String) = (cutUntilMs[from to to] ?: 0) > sim.nowMs

    private fun delayMs(from: String, to: String): Long {
        val isSlow = (slowUntilMs[from to to] ?: 0) > sim.nowMs
        return if (isSlow) random.nextLong(1, SLOW_MS) else random.nextLong(1, USUAL_MS)
    }

    /** Opens a connection from [process] to the machine [to], if both directions of the link work. */
    fun dial(process: SimulatedProcess, to: String) {
        if (isCut(process.name, to)) return
        sim.after(delayMs(process.name, to) + delayMs(to, process.name)) {
            if (isCut(to, process.name) || to in machinesWithoutPower) return@after
            val target = processes[to] ?: return@after process.deliver { process.onRefused(to) }
            // Each side sends its own name before it reads that of the other.
            val connection = Connection(process, target)
            target.deliver { target.onOpened(connection) }
            process.deliver { process.onOpened(connection) }
        }
    }

    /**
     * Resets the connections between two processes, as a middlebox does; some of them if they may also go silent. What
     * was sent on them may be lost.
     */
    fun reset(one: SimulatedProcess, other: SimulatedProcess) =
        one.connections().filter { it.peerOf(one) === other && (!goSilent || random.nextBoolean()) }.forEach {
            it.close(one)
            one.deliver { one.onClosed(it) }
        }

    /**
     * Lets [share] of the open connections between two processes go silent for good, in one direction or both. Nothing
     * tells either side, and connections that are opened later work.
     */
    fun silence(one: SimulatedProcess, other: SimulatedProcess, fromOne: Boolean, toOne: Boolean, share: Double = 1.0) =
        one.connections().filter { it.peerOf(one) === other && random.nextDouble() < share }.forEach {
            if (fromOne) it.silence(from = one)
            if (toOne) it.silence(from = other)
        }

    /** A connection between two processes, with the messages on it that have not arrived. */
    inner class Connection(private val dialing: SimulatedProcess, private val accepting: SimulatedProcess) {
        private val forward = Direction(this, dialing, accepting)
        private val backward = Direction(this, accepting, dialing)
        var isClosed = false
            private set

        fun isDialedBy(process: SimulatedProcess) = process === dialing

        fun peerOf(process: SimulatedProcess) = if (process === dialing) accepting else dialing

        fun send(from: SimulatedProcess, message: PeerMessage) {
            if (!isClosed) (if (from === dialing) forward else backward).send(message)
        }

        fun silence(from: SimulatedProcess) = (if (from === dialing) forward else backward).silence()

        /** Closes the connection; the other side learns of it when the link to it works. */
        fun close(by: SimulatedProcess) {
            if (isClosed) return
            val direction = if (by === dialing) forward else backward
            if (random.nextBoolean()) direction.deliverAll()
            discard()
            direction.notifyClosed()
        }

        /** Discards what has not arrived. Nothing tells the other side. */
        fun discard() {
            isClosed = true
            forward.clear()
            backward.clear()
        }
    }

    private inner class Direction(
        private val connection: Connection,
        private val from: SimulatedProcess,
        private val to: SimulatedProcess,
    ) {
        private val sent = ArrayDeque<Pair<Long, PeerMessage>>()
        private var isScheduled = false
        private var isSilent = false

        fun silence() {
            isSilent = true
            clear()
        }

        fun send(message: PeerMessage) {
            if (isSilent) return
            sent += sim.nowMs + delayMs(from.name, to.name) to message
            schedule(sent.first().first)
        }

        private fun schedule(atMs: Long) {
            if (isScheduled) return
            isScheduled = true
            sim.after((atMs - sim.nowMs).coerceAtLeast(0)) {
                isScheduled = false
                deliverDue()
            }
        }

        private fun deliverDue() {
            while (sent.isNotEmpty()) {
                val restoredAtMs = cutUntilMs[from.name to to.name] ?: 0
                // A lost packet is sent again after a time that grows with the length of the cut.
                if (restoredAtMs > sim.nowMs) return schedule(restoredAtMs + random.nextLong(RESEND_MS))
                if (sent.first().first > sim.nowMs) return schedule(sent.first().first)
                deliver(sent.removeFirst().second)
            }
        }

        private fun deliver(message: PeerMessage) = to.deliver { to.onReceived(connection, message) }

        fun deliverAll() {
            if (!isCut(from.name, to.name)) sent.forEach { deliver(it.second) }
        }

        fun clear() = sent.clear()

        fun notifyClosed() {
            if (isSilent) return
            val restoredAtMs = maxOf(cutUntilMs[from.name to to.name] ?: 0, sim.nowMs)
            sim.after(restoredAtMs - sim.nowMs + delayMs(from.name, to.name)) {
                to.deliver { to.onClosed(connection) }
            }
        }
    }

    private companion object {
        const val USUAL_MS = 6L
        const val SLOW_MS = 300L
        const val RESEND_MS = 200L
    }
}
