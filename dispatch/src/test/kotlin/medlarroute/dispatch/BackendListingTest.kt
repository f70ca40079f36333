package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Which backend servers count as listed while the lists of the store and of the peers differ. */
class BackendListingTest {
    private val clock = TestTimeSource()
    private val listing = BackendListing(clock)

    private fun list(version: Long, vararg ids: String) = BackendList(
        version,
        ids.map {
            BackendInfo(it, it, 1, "d1", ServiceId("s"), Resources(16_000, 64_000, 0), emptyList(), 1, draining = false)
        },
    )

    private fun listed() = listing.backends.map { it.id }

    /**
     * Guards against two lists that take turns. After a partition, an instance took the list of the store and that of a
     * peer, and lost and regained the backend servers of its failure domain several times within a second.
     */
    @Test
    fun `an older list is ignored, wherever it comes from`() {
        listing.update(list(20, "a", "b", "new")) shouldBe true
        listing.update(list(10, "a", "b", "gone")) shouldBe false
        listed() shouldContainExactly listOf("a", "b", "new")
    }

    /**
     * Guards against removing the backend servers of a failure domain that was cut off: the first list of the store
     * after the partition lacks their entries, and the instance knew them only from a list of a peer.
     */
    @Test
    fun `backend servers that a later list lacks count as listed for two seconds more`() {
        listing.update(list(10, "a", "b"))
        listing.update(list(20, "a"))
        listed() shouldContainExactlyInAnyOrder listOf("a", "b")
        clock += 2_000.milliseconds
        listing.removeExpired() shouldBe false
        listed() shouldContainExactlyInAnyOrder listOf("a", "b")
        clock += 300.milliseconds
        listing.removeExpired() shouldBe true
        listed() shouldContainExactly listOf("a")
    }

    /** Guards against retaining a backend server for ever, or in a former state, after it was listed again. */
    @Test
    fun `a backend server that is listed again is no longer retained`() {
        listing.update(list(10, "a", "b"))
        listing.update(list(20, "a"))
        listing.update(list(30, "a", "b"))
        listed() shouldContainExactly listOf("a", "b")
        clock += 3_000.milliseconds
        listing.removeExpired() shouldBe false
        listed() shouldContainExactly listOf("a", "b")
    }
}
