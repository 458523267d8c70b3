package settings

import "github.com/hickoryridge/hickoryridge/ident"

// maxPayloadMemory is the most memory for the requests, or for the answers, that an instance keeps at a time.
const maxPayloadMemory ident.Bytes = 48 << 20

// AnswerMemory returns the memory for targets' answers that the instance keeps at a time.
func (s *Settings) AnswerMemory() ident.Bytes { return s.memoryShare(4) }

// RequestMemory returns the memory for requests that the instance keeps at a time.
func (s *Settings) RequestMemory() ident.Bytes { return s.memoryShare(8) }

// memoryShare returns the given part of the instance's memory, at most maxPayloadMemory.
func (s *Settings) memoryShare(parts ident.Bytes) ident.Bytes {
	if s.Limits.Memory == 0 {
		return maxPayloadMemory
	}
	return min(maxPayloadMemory, s.Limits.Memory/parts)
}

// KernelBuffer returns the bytes that the kernel is asked to keep of an answer on its way from a target to this instance, and
// as many on its way to the caller; 0 leaves them to the kernel. As it may keep twice as much of each, what it keeps of a
// stream that its caller does not read is about as much as is read ahead.
func (s *Settings) KernelBuffer() ident.Bytes { return s.Limits.Unread / 4 }
