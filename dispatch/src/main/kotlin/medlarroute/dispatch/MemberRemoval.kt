package medlarroute.dispatch

/**
 * Removes the store's rows of instances that are gone for good, while this instance is an owner. See
 * `docs/design/members.md` for what counts as a sign of life and for the bounds.
 *
 * The removal is conditional on the row of the incarnation that was silent, so that an instance which has registered
 * again meanwhile stays.
 *
 * @param goneMs silence after which an instance counts as gone.
 * @param isAlive whether this instance receives messages of an instance.
 */
internal class MemberRemoval(
    private val self: PeerMember,
    private val store: FleetStore,
    private val isAlive: (String) -> Boolean,
    private val log: EventLog,
    private val goneMs: Long = GONE_MS,
) {
    private val domainGoneMs = goneMs * DOMAIN_FACTOR

    /** Leaves peers half of the time to answer. */
    private val askAfterMs = goneMs / 2

    private class Silence(val member: PeerMember) {
        var forMs = 0L
        var attemptedAtMs = NEVER_MS
    }

    private val silences = HashMap<String, Silence>()
    private var members = emptyList<PeerMember>()
    private var tickedAtMs = NEVER_MS

    /** Instances by which this one was asked whether it receives messages of others, with these. */
    private val asked = HashMap<String, List<String>>()

    /** Instances that this owner has not heard for a while. Peers that do are asked to say so. */
    var missing: List<String> = emptyList()
        private set

    /** The instances that owners miss and this instance hears. */
    fun heard(): List<String> {
        if (asked.isEmpty()) return emptyList()
        return asked.filterKeys(isAlive).values.flatten().filter(isAlive).distinct().sorted()
    }

    fun onMembers(registered: List<PeerMember>) {
        members = registered.filter { it.instance != self.instance }
    }

    fun onHeartbeat(peer: String, heartbeat: PeerMessage.Heartbeat) {
        if (heartbeat.missing.isEmpty()) asked -= peer else asked[peer] = heartbeat.missing
        silences -= heartbeat.heard.toSet()
    }

    /**
     * Counts silence while this instance owns a failure domain, reaches the store and is not paused, and removes the
     * instances whose silence has reached its bound.
     */
    fun onTick(nowMs: Long, isOwner: Boolean) {
        val elapsedMs = nowMs - tickedAtMs
        tickedAtMs = nowMs
        if (!isOwner) {
            silences.clear()
            missing = emptyList()
            return
        }
        val (alive, silent) = members.partition { isAlive(it.instance) }
        silences -= alive.mapTo(HashSet()) { it.instance }
        silences.keys.retainAll(silent.mapTo(HashSet()) { it.instance })
        if (elapsedMs > PAUSE_MS || !store.isReachable) return
        val heardDomains = alive.mapTo(HashSet()) { it.failureDomain }
        if (alive.isNotEmpty()) heardDomains += self.failureDomain
        for (member in silent) {
            val silence = silences[member.instance]?.takeIf { it.member == member } ?: Silence(member)
            silences[member.instance] = silence
            silence.forMs += elapsedMs
            val boundMs = if (member.failureDomain in heardDomains) goneMs else domainGoneMs
            if (silence.forMs >= boundMs && nowMs - silence.attemptedAtMs >= RETRY_MS) remove(silence, nowMs)
        }
        missing = silences.filterValues { it.forMs >= askAfterMs }.keys.sorted()
    }

    private fun remove(silence: Silence, nowMs: Long) {
        silence.attemptedAtMs = nowMs
        val member = silence.member
        store.removeMember(member) { isRemoved ->
            log.event(
                "instance", "member-removed", "member", member.instance, "number", member.number,
                "silentMs", silence.forMs, "members", members.size, "removed", isRemoved,
            )
        }
    }

    companion object {
        /** Several times the longest pause, partition or restart seen in the fault soak, which last up to 8 s. */
        const val GONE_MS = 30_000L

        /** The bound is longer by this if a failure domain is silent, more often a partition than a loss for good. */
        const val DOMAIN_FACTOR = 20
        const val RETRY_MS = 1_000L
    }
}
