package medlarroute.dispatch

/** What is known of the life of a peer. */
public enum class PeerLife {
    /** Heard of within the silence limit. */
    ALIVE,

    /** Not heard of. It may be frozen, cut off or dead. */
    SILENT,

    /** Its machine refused a connection: the process is gone, or a partition refuses connections. */
    DEAD,
}

/** A peer. [owned] and [released] are failure domains that it says it owns or has given up, with their tokens. */
public data class PeerView(
    public val member: PeerMember,
    public val life: PeerLife,
    public val owned: Map<String, Long>,
    public val leaving: Boolean,
    public val released: Map<String, Long> = emptyMap(),
)
