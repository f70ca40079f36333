package medlarroute.dispatch

/** Liveness of a peer as this instance sees it. */
public enum class PeerState {
    /** A message arrived within [PeerNetworkSettings.silentMs]. */
    ALIVE,

    /** No message arrived in time. The peer may be frozen, partitioned or dead. */
    SILENT,

    /** Its machine refused a connection: the process has ended, or a partition rejects connections. */
    DEAD,
}

/**
 * State of a peer.
 *
 * @property owned failure domains that the peer owns according to its last heartbeat, with their tokens.
 * @property released failure domains that the peer has released, with the tokens under which it owned them.
 * @property successors instances to which the peer has released them.
 */
public data class PeerView(
    public val member: PeerMember,
    public val state: PeerState,
    public val owned: Map<String, Long>,
    public val leaving: Boolean,
    public val released: Map<String, Long> = emptyMap(),
    public val successors: Map<String, String> = emptyMap(),
)
