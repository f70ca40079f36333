package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** Which instances know the backend servers when an owner or a failure domain is lost. */
class BackendListSharingTest {
    private val self = PeerMember("d1-0", "d1", "h", 1, number = 1)

    private fun peers(domains: Int, perDomain: Int): List<PeerView> = (1..domains).flatMap { domain ->
        (0 until perDomain).map { index ->
            val number = 10L * domain + index
            PeerView(
                PeerMember("d$domain-$index", "d$domain", "h", 1, number),
                PeerState.ALIVE,
                owned = emptyMap(),
                leaving = false,
            )
        }
    }.filter { it.member.instance != self.instance }

    /**
     * Guards against a failure domain that is cut off from the owner of all domains and then knows none of its own
     * backend servers. It refused all jobs of its callers for the six seconds of the cut.
     */
    @Test
    fun `an owner of all failure domains sends the list to instances of each`() {
        val recipients = backendRecipients(self, peers(domains = 4, perDomain = 2), isPerDomain = false)
        recipients.map { it.substringBefore('-') }.toSet() shouldContainAll listOf("d1", "d2", "d3", "d4")
    }

    /** Guards against a list that is sent to a number of instances that grows with the number of failure domains. */
    @Test
    fun `an owner of one failure domain sends the list to candidates there, not in each domain`() {
        val recipients = backendRecipients(self, peers(domains = 6, perDomain = 8), isPerDomain = true)
        recipients.map { it.substringBefore('-') }.toSet() shouldBe setOf("d1")
    }

    @Test
    fun `instances that can't be reached receive nothing`() {
        val peers = peers(domains = 2, perDomain = 2).map { it.copy(state = PeerState.SILENT) }
        backendRecipients(self, peers, isPerDomain = false) shouldBe emptySet()
    }
}
